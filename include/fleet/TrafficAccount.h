#pragma once

#include "include/base/RankedMutex.h"
#include "include/fleet/FleetMessages.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace arbutus::fleet {

// Bytes of one kind between this process and one other data centre. Thread-safe.
struct TrafficCounter {
    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> received { 0 };
};

// Counts the bytes that this process exchanges with other data centres. Counts the bodies
// of frames without their headers, and whole HTTP messages. Thread-safe.
class TrafficAccount {
public:
    enum class Kind : std::uint8_t {
        // Polls and answers, without the loads and documents in them.
        Poll,
        // Loads of entry VMs, in polls, in answers and between control VMs.
        Load,
        // Compressed configurations.
        Document,
        Replication,
        // Requests to upstreams and their responses.
        Upstream,
    };
    enum class Direction : std::uint8_t {
        Sent,
        Received,
    };

    explicit TrafficAccount(std::string ownDataCentre);

    // Sets the data centre of a control VM.
    void setDataCentre(std::uint32_t ip, const std::string& dataCentre);

    // Returns null for the own data centre. The counter is valid as long as this object.
    TrafficCounter* counter(Kind, const std::string& dataCentre);
    void add(Kind, Direction, const std::string& dataCentre, std::size_t bytes);
    // The same for the control VM at `ip`.
    void add(Kind, Direction, std::uint32_t ip, std::size_t bytes);
    // Adds a message of `bytes` bytes to the kinds of its parts.
    void add(const FleetPoll&, Direction, const std::string& dataCentre, std::size_t bytes);
    void add(const FleetAnswer&, Direction, const std::string& dataCentre, std::size_t bytes);

    // Returns the bytes since the last call as text, "DATA-CENTRE:KIND=SENT/RECEIVED,..." for
    // each data centre, separated by semicolons. Zeros are left out.
    std::string take();

private:
    static constexpr std::size_t kindCount = static_cast<std::size_t>(Kind::Upstream) + 1;
    using Counters = std::array<TrafficCounter, kindCount>;

    const std::string ownDataCentre_;
    base::RankedMutex mutex_;
    std::map<std::string, Counters> counters_;
    std::map<std::uint32_t, std::string> dataCentres_;
};

} // namespace arbutus::fleet
