#include "include/fleet/FleetSource.h"

namespace arbutus::fleet {

// An entry VM polls at least twice in this time unless it is down or cut off.
static constexpr std::chrono::seconds entryLifetime(2);

void FleetSource::setRoutes(std::uint64_t version, std::shared_ptr<const std::string> document)
{
    routesVersion_ = version;
    routes_ = std::move(document);
}

bool FleetSource::hasNews(const FleetPoll& poll) const
{
    return poll.epoch != epoch_ || poll.revision < registry_.revision() || poll.routesVersion < routesVersion_;
}

std::map<std::string, UpstreamWork> FleetSource::workExcept(const std::string& sender, base::TimePoint now) const
{
    std::map<std::string, UpstreamWork> sums;
    for (const auto& [name, entry] : entries_) {
        if (name == sender || now > entry.heardAt + entryLifetime)
            continue;
        for (const auto& work : entry.work) {
            auto& sum = sums[work.upstream];
            sum.upstream = work.upstream;
            sum.running += work.running;
            sum.cacheTokenLayers += work.cacheTokenLayers;
        }
    }
    return sums;
}

std::size_t FleetSource::entryCount(base::TimePoint now) const
{
    std::size_t count = 0;
    for (const auto& [name, entry] : entries_)
        count += now <= entry.heardAt + entryLifetime ? 1 : 0;
    return count;
}

FleetAnswer FleetSource::answer(const FleetPoll& poll, base::TimePoint now) const
{
    FleetAnswer result;
    result.epoch = epoch_;
    result.revision = registry_.revision();
    result.facts = registry_.changesSince(poll.epoch == epoch_ ? poll.revision : 0);
    result.routesVersion = routesVersion_;
    if (poll.wantsRoutes && poll.routesVersion < routesVersion_)
        result.routesDocument = *routes_;
    result.replicas = replicas_;
    result.entryCount = static_cast<std::uint32_t>(entryCount(now));
    if (poll.isEntry) {
        for (auto& [upstream, work] : workExcept(poll.sender, now))
            result.othersWork.push_back(work);
    }
    return result;
}

void FleetSource::poll(FleetPoll poll, Reply reply, base::TimePoint now)
{
    if (poll.isEntry)
        entries_[poll.sender] = { now, poll.work };
    if (hasNews(poll) || !poll.holdMilliseconds) {
        reply(encode(answer(poll, now)));
        return;
    }
    auto deadline = now + std::chrono::milliseconds(poll.holdMilliseconds);
    held_.push_back({ std::move(poll), std::move(reply), deadline });
}

void FleetSource::answerHeld(base::TimePoint now)
{
    for (auto it = held_.begin(); it != held_.end();) {
        if (now < it->deadline && !hasNews(it->poll)) {
            ++it;
            continue;
        }
        it->reply(encode(answer(it->poll, now)));
        it = held_.erase(it);
    }
    for (auto it = entries_.begin(); it != entries_.end();)
        it = now > it->second.heardAt + 5 * entryLifetime ? entries_.erase(it) : std::next(it);
}

} // namespace arbutus::fleet
