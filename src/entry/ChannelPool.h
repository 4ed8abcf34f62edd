#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"
#include "include/http/EngineChannel.h"
#include "include/serving/EngineLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::entry {

using serving::DescriptorPointer;

// Maintains the channels from this VM to its engines and reopens them after a
// failure. A channel is ready once its first message has arrived. Thread-safe.
class ChannelPool final : public serving::EngineLinks {
public:
    // `onMessage` is called without a lock held; `onReady` and `onLost` are called with
    // only the notification lock held.
    struct Listener {
        std::function<void(const DescriptorPointer&)> onReady;
        std::function<void(const std::string& engine, const streams::ChannelMessage&)> onMessage;
        // A ready channel was closed or timed out.
        std::function<void(const std::string& engine)> onLost;
    };

    // `processName` makes channel names unique across processes and restarts. A
    // channel that receives no message for `receiveTimeout` is closed.
    ChannelPool(const base::Clock&, std::string processName, std::chrono::nanoseconds receiveTimeout, Listener);
    ~ChannelPool() override;

    // Opens missing channels and closes those that have timed out.
    void tick();

    // Closes all channels permanently; later calls to tick() open none.
    void close();

    std::size_t readyCount() const;

private:
    struct EngineConnection {
        DescriptorPointer descriptor;
        std::shared_ptr<http::EngineChannel> channel;
        std::uint64_t generation = 0;
        bool isReady = false;
        base::TimePoint lastReceivedAt;
        base::TimePoint reopenAt;
    };

    bool onSend(const std::string& engine, const streams::ChannelMessage&) override;
    // A channel to an engine that is no longer listed stays open until it ends,
    // because it may still carry streams.
    void onSetEngines(const std::vector<DescriptorPointer>&) override;
    void open(const std::string& engine, EngineConnection&);
    void handleMessage(const std::string& engine, std::uint64_t generation, const streams::ChannelMessage&);
    void notifyReady(const std::string& engine, std::uint64_t generation);
    void handleChannelClosed(const std::string& engine, std::uint64_t generation);

    const base::Clock& clock_;
    const std::string processName_;
    const std::chrono::nanoseconds receiveTimeout_;
    const Listener listener_;
    // Held while the listener is notified, so that onReady always precedes onLost for
    // the same channel.
    base::RankedMutex notifyMutex_;
    mutable base::RankedMutex mutex_;
    std::map<std::string, EngineConnection> connections_;
    std::uint64_t nextGeneration_ = 1;
    bool isClosed_ = false;
};

} // namespace arbutus::entry
