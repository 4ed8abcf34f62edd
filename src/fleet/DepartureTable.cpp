#include "include/fleet/DepartureTable.h"

#include "include/base/Digest.h"

#include <fmt/format.h>

namespace arbutus::fleet {

static constexpr std::size_t maxIdBytes = 44;
static constexpr std::size_t digestDigits = 40;
// Each is a command, so they are spread over time.
static constexpr std::size_t maxExpiredAtOnce = 16;

std::string departureName(const UpstreamProcess& process)
{
    auto id = process.id.size() <= maxIdBytes ? process.id : base::sha256Hex(process.id).substr(0, digestDigits);
    return fmt::format("{}@{}", id, process.startedAtMilliseconds);
}

std::vector<std::string> DepartureTable::takeExpired(base::TimePoint now)
{
    for (auto it = knownSince_.begin(); it != knownSince_.end();)
        it = names_->count(it->first) ? std::next(it) : knownSince_.erase(it);
    std::vector<std::string> expired;
    for (const auto& name : *names_) {
        auto [known, isNew] = knownSince_.emplace(name, now);
        if (isNew || now < known->second + retention || expired.size() >= maxExpiredAtOnce)
            continue;
        expired.push_back(name);
        // Asked for again if the command does not get through.
        known->second = now;
    }
    return expired;
}

} // namespace arbutus::fleet
