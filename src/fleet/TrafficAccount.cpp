#include "include/fleet/TrafficAccount.h"

#include "include/base/LockRanks.h"

#include <fmt/format.h>

namespace arbutus::fleet {

// Bounds the line in the log. Further data centres are counted together.
static constexpr std::size_t maxDataCentres = 16;
static constexpr std::size_t maxControlVms = 64;
static constexpr std::string_view unknownDataCentre = "unknown";
static constexpr std::string_view otherDataCentres = "other";

static constexpr std::array<std::string_view, 5> kindNames { "polls", "loads", "documents", "replication", "upstreams" };

TrafficAccount::TrafficAccount(std::string ownDataCentre)
    : ownDataCentre_(std::move(ownDataCentre))
    , mutex_(base::lock_rank::traffic)
{
}

void TrafficAccount::setDataCentre(std::uint32_t ip, const std::string& dataCentre)
{
    base::RankedLock lock(mutex_);
    if (dataCentres_.size() < maxControlVms || dataCentres_.count(ip))
        dataCentres_[ip] = dataCentre;
}

TrafficCounter* TrafficAccount::counter(Kind kind, const std::string& dataCentre)
{
    if (dataCentre == ownDataCentre_)
        return nullptr;
    base::RankedLock lock(mutex_);
    auto name = dataCentre.empty() ? std::string(unknownDataCentre) : dataCentre;
    if (counters_.size() >= maxDataCentres && !counters_.count(name))
        name = otherDataCentres;
    return &counters_[name][static_cast<std::size_t>(kind)];
}

void TrafficAccount::add(Kind kind, Direction direction, const std::string& dataCentre, std::size_t bytes)
{
    auto* found = bytes ? counter(kind, dataCentre) : nullptr;
    if (found)
        (direction == Direction::Sent ? found->sent : found->received) += bytes;
}

void TrafficAccount::add(Kind kind, Direction direction, std::uint32_t ip, std::size_t bytes)
{
    std::string dataCentre;
    {
        base::RankedLock lock(mutex_);
        if (auto found = dataCentres_.find(ip); found != dataCentres_.end())
            dataCentre = found->second;
    }
    add(kind, direction, dataCentre, bytes);
}

// Counts encoded bytes without storing them.
struct CountingBuffer {
    std::size_t bytes = 0;
    void write(const char* /*data*/, std::size_t size) { bytes += size; }
};

static std::size_t encodedBytes(const std::vector<UpstreamInFlightLoad>& loads)
{
    if (loads.empty())
        return 0;
    CountingBuffer buffer;
    msgpack::pack(buffer, loads);
    return buffer.bytes;
}

void TrafficAccount::add(const FleetPoll& poll, Direction direction, const std::string& dataCentre, std::size_t bytes)
{
    if (dataCentre == ownDataCentre_)
        return;
    auto loads = std::min(bytes, encodedBytes(poll.load));
    add(Kind::Load, direction, dataCentre, loads);
    add(Kind::Poll, direction, dataCentre, bytes - loads);
}

void TrafficAccount::add(const FleetAnswer& answer, Direction direction, const std::string& dataCentre, std::size_t bytes)
{
    if (dataCentre == ownDataCentre_)
        return;
    auto loads = std::min(bytes, encodedBytes(answer.peerLoad));
    auto documents = std::min(bytes - loads, answer.packedRoutes.size());
    add(Kind::Load, direction, dataCentre, loads);
    add(Kind::Document, direction, dataCentre, documents);
    add(Kind::Poll, direction, dataCentre, bytes - loads - documents);
}

std::string TrafficAccount::take()
{
    static_assert(kindNames.size() == kindCount);
    base::RankedLock lock(mutex_);
    std::string result;
    for (auto& [dataCentre, counters] : counters_) {
        std::string kinds;
        for (std::size_t kind = 0; kind < kindCount; ++kind) {
            auto sent = counters[kind].sent.exchange(0);
            auto received = counters[kind].received.exchange(0);
            if (sent || received)
                kinds += fmt::format("{}{}={}/{}", kinds.empty() ? "" : ",", kindNames[kind], sent, received);
        }
        if (!kinds.empty())
            result += fmt::format("{}{}:{}", result.empty() ? "" : ";", dataCentre, kinds);
    }
    return result;
}

} // namespace arbutus::fleet
