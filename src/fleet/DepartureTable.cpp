#include "include/fleet/DepartureTable.h"

#include "include/base/Digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace arbutus::fleet {

static constexpr std::size_t maxIdBytes = 44;
static constexpr std::size_t digestDigits = 40;
// Each is a command, so they are spread over time.
static constexpr std::size_t maxExpiredAtOnce = 16;

// What the names of all processes of an upstream begin with.
static std::string namePrefix(const std::string& id)
{
    return (id.size() <= maxIdBytes ? id : base::sha256Hex(id).substr(0, digestDigits)) + '@';
}

std::string departureName(const UpstreamProcess& process) { return fmt::format("{}{}", namePrefix(process.id), process.startedAtMilliseconds); }

std::optional<std::int64_t> DepartureTable::latestStart(const std::string& id) const
{
    std::optional<std::int64_t> latest;
    const auto prefix = namePrefix(id);
    for (auto name = names_->lower_bound(prefix); name != names_->end() && name->compare(0, prefix.size(), prefix) == 0; ++name) {
        std::int64_t start = 0;
        const char* end = name->data() + name->size();
        if (auto [parsedEnd, error] = std::from_chars(name->data() + prefix.size(), end, start); error == std::errc() && parsedEnd == end)
            latest = std::max(latest.value_or(start), start);
    }
    return latest;
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
