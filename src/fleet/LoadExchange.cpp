#include "include/fleet/LoadExchange.h"

#include "include/base/Logger.h"

#include <tuple>

namespace arbutus::fleet {

static constexpr base::Logger logger("fleet");

// Without changes, an update is sent this often, so that the load stays valid if some of
// them are lost or late.
static constexpr std::chrono::milliseconds keepAliveInterval(300);
// A control VM that asks again sooner may not have received the last whole update yet.
static constexpr std::chrono::milliseconds wholeInterval(240);
// One update may be lost.
static constexpr std::chrono::milliseconds silenceLimit(450);
// Demand is averaged over about a second, so it need not be told in every update.
static constexpr std::chrono::milliseconds demandInterval(240);
static constexpr std::size_t maxSources = 32;

ServiceDemands LoadExchange::peerDemand() const
{
    std::map<std::tuple<std::string, std::string, int>, ServiceDemand> sums;
    for (const auto& [ip, source] : sources_) {
        for (const auto& demand : source.demand) {
            auto& sum = sums.try_emplace({ demand.service, demand.dataCentre, demand.priority }, ServiceDemand { demand.service, demand.dataCentre, demand.priority, 0, 0, 0 }).first->second;
            sum.arrivals += demand.arrivals;
            sum.completions += demand.completions;
            sum.refusals += demand.refusals;
        }
    }
    ServiceDemands result;
    for (auto& [key, sum] : sums)
        result.push_back(std::move(sum));
    return result;
}

void LoadExchange::dropSilentSources(base::TimePoint now)
{
    for (auto it = sources_.begin(); it != sources_.end();) {
        if (now < it->second.updatedAt + sourceTimeout) {
            ++it;
            continue;
        }
        table_.releaseAll(it->first);
        wholeRequests_.erase(it->first);
        wholeSentAt_.erase(it->first);
        logger.info("Dropped the load that a control VM had told, because it is silent.", { { "vm", net::ipText(it->first) } });
        it = sources_.erase(it);
    }
}

void LoadExchange::takeLoadChanges(LoadUpdate& update)
{
    for (const auto& [entryVm, row] : table_.rows()) {
        if (row.owner)
            continue;
        auto [found, isNew] = told_.try_emplace(entryVm);
        auto& told = found->second;
        bool isWhole = isNew || told.incarnation != row.incarnation;
        if (!isWhole && told.revision == row.revision)
            continue;
        auto changes = isWhole ? row.load : loadChanges(told.load, row.load);
        if (!isWhole && changes.empty())
            continue;
        update.loads.push_back({ entryVm, row.incarnation, row.revision, isWhole ? 0 : told.revision, std::move(changes) });
        told = { row.incarnation, row.revision, row.load };
    }
}

void LoadExchange::takeReleased(LoadUpdate& update)
{
    for (auto it = told_.begin(); it != told_.end();) {
        auto row = table_.rows().find(it->first);
        if (row != table_.rows().end() && !row->second.owner) {
            ++it;
            continue;
        }
        update.released.push_back(it->first);
        it = told_.erase(it);
    }
}

void LoadExchange::takeDemand(LoadUpdate& update, base::TimePoint now)
{
    bool isNeeded = hasToldDemand_ || !ownDemand_.empty();
    if (!isNeeded || now < demandSentAt_ + demandInterval)
        return;
    hasToldDemand_ = !ownDemand_.empty();
    demandSentAt_ = now;
    update.hasDemand = true;
    update.demand = ownDemand_;
}

LoadUpdate LoadExchange::takeChanges(base::TimePoint now)
{
    LoadUpdate update;
    update.sender = self_;
    update.epoch = epoch_;
    // The first update of a process starts from nothing.
    update.isWhole = !sequence_;
    takeLoadChanges(update);
    takeReleased(update);
    takeDemand(update, now);
    for (const auto& [ip, source] : sources_) {
        if (source.needsWhole)
            update.wanted.push_back(ip);
    }
    return update;
}

LoadUpdate LoadExchange::whole(const LoadUpdate& changes) const
{
    auto update = changes;
    update.isWhole = true;
    update.loads.clear();
    update.released.clear();
    for (const auto& [entryVm, told] : told_)
        update.loads.push_back({ entryVm, told.incarnation, told.revision, 0, told.load });
    update.hasDemand = true;
    update.demand = ownDemand_;
    return update;
}

std::vector<std::uint32_t> LoadExchange::silentControlVms(base::TimePoint now) const
{
    std::vector<std::uint32_t> silent;
    for (auto ip : controlVms_) {
        auto source = sources_.find(ip);
        if (ip != self_ && (source == sources_.end() || now >= source->second.updatedAt + silenceLimit))
            silent.push_back(ip);
    }
    return silent;
}

void LoadExchange::tick(const std::vector<std::uint32_t>& controlVms, const Send& send, base::TimePoint now)
{
    controlVms_ = controlVms;
    dropSilentSources(now);
    auto changes = takeChanges(now);
    bool isEmpty = changes.loads.empty() && changes.released.empty() && !changes.hasDemand && changes.wanted.empty();
    if (isEmpty && wholeRequests_.empty() && now < sentAt_ + keepAliveInterval)
        return;
    sentAt_ = now;
    changes.sequence = ++sequence_;
    const auto encoded = encode(changes);
    std::string encodedWhole;
    for (auto ip : controlVms) {
        bool isWhole = wholeRequests_.count(ip) && now >= wholeSentAt_[ip] + wholeInterval;
        if (!isWhole) {
            send(ip, encoded);
            continue;
        }
        if (encodedWhole.empty())
            encodedWhole = encode(whole(changes));
        wholeSentAt_[ip] = now;
        send(ip, encodedWhole);
    }
    wholeRequests_.clear();
}

bool LoadExchange::mayMerge(const Source& source, const LoadUpdate& update) const
{
    return update.isWhole || (update.epoch == source.epoch && !source.needsWhole && update.sequence == source.sequence + 1);
}

void LoadExchange::receive(LoadUpdate update, base::TimePoint now)
{
    if (update.sender == self_ || (!sources_.count(update.sender) && sources_.size() >= maxSources))
        return;
    for (auto ip : update.wanted) {
        if (ip == self_)
            wholeRequests_.insert(update.sender);
    }
    auto [found, isNew] = sources_.try_emplace(update.sender);
    auto& source = found->second;
    if (isNew)
        source.updatedAt = now;
    if (update.epoch == source.epoch && update.sequence <= source.sequence)
        return;
    if (mayMerge(source, update))
        merge(source, std::move(update), now);
    else
        source.needsWhole = true;
}

void LoadExchange::merge(Source& source, LoadUpdate update, base::TimePoint now)
{
    if (update.isWhole)
        table_.releaseAll(update.sender);
    bool isComplete = true;
    for (auto& load : update.loads)
        isComplete = table_.merge(update.sender, std::move(load)) && isComplete;
    for (const auto& entryVm : update.released)
        table_.release(update.sender, entryVm);
    source.epoch = update.epoch;
    source.sequence = update.sequence;
    source.updatedAt = now;
    source.needsWhole = !isComplete;
    if (update.hasDemand)
        source.demand = std::move(update.demand);
}

} // namespace arbutus::fleet
