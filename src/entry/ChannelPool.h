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

using serving::FactsPointer;

// The channels of this VM to its engines. A channel counts as ready after its
// first load report. Safe to use from several threads.
class ChannelPool final : public serving::EngineLinks {
public:
    // Called without any lock of the pool held.
    struct Listener {
        std::function<void(const FactsPointer&)> onReady;
        std::function<void(const std::string& engine, const streams::ChannelMessage&)> onMessage;
        // A ready channel has ended or fallen silent.
        std::function<void(const std::string& engine)> onLost;
    };

    // `processName` makes channel names unique among processes and restarts. A
    // channel without any message for `silenceLimit` is lost.
    ChannelPool(const base::Clock&, std::string processName, std::chrono::nanoseconds receiveTimeout, Listener);
    ~ChannelPool() override;

    // Opens missing channels and gives up silent ones.
    void tick();

    // Closes every channel and opens none any more.
    void close();

    std::size_t readyCount() const;

private:
    struct EngineConnection {
        FactsPointer facts;
        std::shared_ptr<http::EngineChannel> channel;
        std::uint64_t generation = 0;
        bool isReady = false;
        base::TimePoint lastReceivedAt;
        base::TimePoint reopenAt;
    };

    bool onSend(const std::string& engine, const streams::ChannelMessage&) override;
    // Channels to engines that are no longer named stay until the engine ends
    // them, since they may carry streams.
    void onSetEngines(const std::vector<FactsPointer>&) override;
    void open(const std::string& engine, EngineConnection&);
    void handleMessage(const std::string& engine, std::uint64_t generation, const streams::ChannelMessage&);
    void notifyReady(const std::string& engine, std::uint64_t generation);
    void handleChannelClosed(const std::string& engine, std::uint64_t generation);

    const base::Clock& clock_;
    const std::string processName_;
    const std::chrono::nanoseconds receiveTimeout_;
    const Listener listener_;
    // Held while the listener is told, so that it learns of a ready channel and of
    // its loss in this order.
    base::RankedMutex notifyMutex_;
    mutable base::RankedMutex mutex_;
    std::map<std::string, EngineConnection> connections_;
    std::uint64_t nextGeneration_ = 1;
    bool isClosed_ = false;
};

} // namespace arbutus::entry
