#include "src/entry/ChannelPool.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"

#include <fmt/format.h>

#include <set>

namespace arbutus::entry {

static constexpr base::Logger logger("entry");
static constexpr std::chrono::milliseconds reopenDelay(250);
static constexpr std::chrono::seconds badAddressDelay(30);

ChannelPool::ChannelPool(const base::Clock& clock, std::string processName, std::chrono::nanoseconds silenceLimit, Listener listener)
    : clock_(clock)
    , processName_(std::move(processName))
    , silenceLimit_(silenceLimit)
    , listener_(std::move(listener))
    , notifyMutex_(base::lock_rank::channelNotify)
    , mutex_(base::lock_rank::channel)
{
}

ChannelPool::~ChannelPool() { close(); }

void ChannelPool::onSetEngines(const std::vector<FactsPointer>& engines)
{
    std::vector<std::shared_ptr<http::EngineChannel>> closing;
    {
        base::RankedLock lock(mutex_);
        std::set<std::string> named;
        for (const auto& facts : engines) {
            named.insert(facts->id);
            auto [it, inserted] = slots_.emplace(facts->id, Slot());
            Slot& slot = it->second;
            // A new incarnation shares nothing with the old one.
            if (!inserted && (slot.facts->incarnation != facts->incarnation || slot.facts->address != facts->address) && slot.channel)
                closing.push_back(slot.channel);
            slot.facts = facts;
        }
        for (auto it = slots_.begin(); it != slots_.end();) {
            if (!named.count(it->first) && !it->second.channel)
                it = slots_.erase(it);
            else
                ++it;
        }
    }
    for (auto& channel : closing)
        channel->close();
    tick();
}

void ChannelPool::open(const std::string& engine, Slot& slot)
{
    slot.generation = nextGeneration_++;
    slot.isReady = false;
    slot.heardAt = clock_.now();
    std::uint64_t generation = slot.generation;
    try {
        slot.channel = http::EngineChannel::Make(
            slot.facts->address, fmt::format("{}-{}", processName_, generation),
            [this, engine, generation](const streams::ChannelMessage& message) { receive(engine, generation, message); },
            [this, engine, generation] { ended(engine, generation); });
    } catch (const std::exception& exception) {
        // An upstream may announce an address that is not a URL.
        slot.reopenAt = clock_.now() + badAddressDelay;
        logger.warning("Cannot open a channel to an engine.", { { "engine", engine }, { "reason", exception.what() } });
    }
}

void ChannelPool::receive(const std::string& engine, std::uint64_t generation, const streams::ChannelMessage& message)
{
    bool isFirst = false;
    {
        base::RankedLock lock(mutex_);
        auto it = slots_.find(engine);
        if (it == slots_.end() || it->second.generation != generation || !it->second.channel)
            return;
        it->second.heardAt = clock_.now();
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
    FactsPointer ready;
    {
        base::RankedLock lock(mutex_);
        auto it = slots_.find(engine);
        if (it != slots_.end() && it->second.generation == generation && it->second.isReady)
            ready = it->second.facts;
    }
    // The channel may have ended in the meantime; then its loss has been told.
    if (ready)
        listener_.onReady(ready);
}

void ChannelPool::ended(const std::string& engine, std::uint64_t generation)
{
    bool wasReady = false;
    {
        base::RankedLock lock(mutex_);
        auto it = slots_.find(engine);
        if (it == slots_.end() || it->second.generation != generation)
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
        if (auto it = slots_.find(engine); it != slots_.end() && it->second.isReady)
            channel = it->second.channel;
    }
    return channel && channel->send(message);
}

void ChannelPool::tick()
{
    std::vector<std::shared_ptr<http::EngineChannel>> silent;
    {
        base::RankedLock lock(mutex_);
        if (isClosed_)
            return;
        auto now = clock_.now();
        for (auto& [engine, slot] : slots_) {
            if (!slot.channel && now >= slot.reopenAt)
                open(engine, slot);
            else if (slot.channel && now - slot.heardAt > silenceLimit_)
                silent.push_back(slot.channel);
        }
    }
    for (auto& channel : silent)
        channel->close();
}

void ChannelPool::close()
{
    std::vector<std::shared_ptr<http::EngineChannel>> closing;
    {
        base::RankedLock lock(mutex_);
        isClosed_ = true;
        for (auto& [engine, slot] : slots_) {
            if (slot.channel)
                closing.push_back(slot.channel);
            // Later callbacks of these channels are ignored.
            slot.generation = 0;
        }
    }
    for (auto& channel : closing)
        channel->close();
}

std::size_t ChannelPool::readyCount() const
{
    base::RankedLock lock(mutex_);
    std::size_t count = 0;
    for (const auto& [engine, slot] : slots_)
        count += slot.isReady;
    return count;
}

} // namespace arbutus::entry
