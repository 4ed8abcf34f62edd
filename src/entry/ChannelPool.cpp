#include "src/entry/ChannelPool.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"

#include <fmt/format.h>

#include <set>

namespace arbutus::entry {

static constexpr base::Logger logger("entry");
static constexpr std::chrono::milliseconds reopenDelay(250);
static constexpr std::chrono::seconds invalidAddressRetryDelay(30);

ChannelPool::ChannelPool(const base::Clock& clock, std::string processName, std::chrono::nanoseconds receiveTimeout, Listener listener)
    : clock_(clock)
    , processName_(std::move(processName))
    , receiveTimeout_(receiveTimeout)
    , listener_(std::move(listener))
    , notifyMutex_(base::lock_rank::channelNotify)
    , mutex_(base::lock_rank::channel)
{
}

ChannelPool::~ChannelPool() { close(); }

void ChannelPool::onSetEngines(const std::vector<DescriptorPointer>& engines)
{
    std::vector<std::shared_ptr<http::EngineChannel>> closing;
    {
        base::RankedLock lock(mutex_);
        std::set<std::string> listedEngines;
        for (const auto& descriptor : engines) {
            listedEngines.insert(descriptor->id);
            auto [it, inserted] = connections_.emplace(descriptor->id, EngineConnection());
            EngineConnection& connection = it->second;
            // A restarted or moved engine has none of the state of its old channel.
            if (!inserted && (connection.descriptor->incarnation != descriptor->incarnation || connection.descriptor->address != descriptor->address) && connection.channel)
                closing.push_back(connection.channel);
            connection.descriptor = descriptor;
        }
        for (auto it = connections_.begin(); it != connections_.end();) {
            if (!listedEngines.count(it->first) && !it->second.channel)
                it = connections_.erase(it);
            else
                ++it;
        }
    }
    for (auto& channel : closing)
        channel->close();
    tick();
}

void ChannelPool::open(const std::string& engine, EngineConnection& connection)
{
    connection.generation = nextGeneration_++;
    connection.isReady = false;
    connection.lastReceivedAt = clock_.now();
    std::uint64_t generation = connection.generation;
    try {
        connection.channel = http::EngineChannel::Make(
            connection.descriptor->address, fmt::format("{}-{}", processName_, generation),
            [this, engine, generation](const streams::ChannelMessage& message) { handleMessage(engine, generation, message); },
            [this, engine, generation] { handleChannelClosed(engine, generation); });
    } catch (const std::exception& exception) {
        // An upstream may announce an address that is not a valid URL.
        connection.reopenAt = clock_.now() + invalidAddressRetryDelay;
        logger.warning("Cannot open a channel to an engine.", { { "engine", engine }, { "reason", exception.what() } });
    }
}

void ChannelPool::handleMessage(const std::string& engine, std::uint64_t generation, const streams::ChannelMessage& message)
{
    bool isFirst = false;
    {
        base::RankedLock lock(mutex_);
        auto it = connections_.find(engine);
        if (it == connections_.end() || it->second.generation != generation || !it->second.channel)
            return;
        it->second.lastReceivedAt = clock_.now();
        if (!it->second.isReady) {
            it->second.isReady = true;
            isFirst = true;
        }
    }
    if (isFirst)
        notifyReady(engine, generation);
    listener_.onMessage(engine, message);
}

void ChannelPool::notifyReady(const std::string& engine, std::uint64_t generation)
{
    base::RankedLock notifyLock(notifyMutex_);
    DescriptorPointer ready;
    {
        base::RankedLock lock(mutex_);
        auto it = connections_.find(engine);
        if (it != connections_.end() && it->second.generation == generation && it->second.isReady)
            ready = it->second.descriptor;
    }
    // Skips a channel that was closed in the meantime; onLost may have been called already.
    if (ready)
        listener_.onReady(ready);
}

void ChannelPool::handleChannelClosed(const std::string& engine, std::uint64_t generation)
{
    bool wasReady = false;
    {
        base::RankedLock lock(mutex_);
        auto it = connections_.find(engine);
        if (it == connections_.end() || it->second.generation != generation)
            return;
        wasReady = it->second.isReady;
        it->second.channel.reset();
        it->second.isReady = false;
        it->second.reopenAt = clock_.now() + reopenDelay;
    }
    if (wasReady) {
        base::RankedLock notifyLock(notifyMutex_);
        logger.info("Lost the channel to an engine.", { { "engine", engine } });
        listener_.onLost(engine);
    }
}

bool ChannelPool::onSend(const std::string& engine, const streams::ChannelMessage& message)
{
    std::shared_ptr<http::EngineChannel> channel;
    {
        base::RankedLock lock(mutex_);
        if (auto it = connections_.find(engine); it != connections_.end() && it->second.isReady)
            channel = it->second.channel;
    }
    return channel && channel->send(message);
}

void ChannelPool::tick()
{
    std::vector<std::shared_ptr<http::EngineChannel>> timedOut;
    {
        base::RankedLock lock(mutex_);
        if (isClosed_)
            return;
        auto now = clock_.now();
        for (auto& [engine, connection] : connections_) {
            if (!connection.channel && now >= connection.reopenAt)
                open(engine, connection);
            else if (connection.channel && now - connection.lastReceivedAt > receiveTimeout_)
                timedOut.push_back(connection.channel);
        }
    }
    for (auto& channel : timedOut)
        channel->close();
}

void ChannelPool::close()
{
    std::vector<std::shared_ptr<http::EngineChannel>> closing;
    {
        base::RankedLock lock(mutex_);
        isClosed_ = true;
        for (auto& [engine, connection] : connections_) {
            if (connection.channel)
                closing.push_back(connection.channel);
            // Generation 0 is never assigned, so later callbacks of these channels are ignored.
            connection.generation = 0;
        }
    }
    for (auto& channel : closing)
        channel->close();
}

std::size_t ChannelPool::readyCount() const
{
    base::RankedLock lock(mutex_);
    std::size_t count = 0;
    for (const auto& [engine, connection] : connections_)
        count += connection.isReady;
    return count;
}

} // namespace arbutus::entry
