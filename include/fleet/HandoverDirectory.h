#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::fleet {

// The entry VMs that take requests which others cannot send to upstreams themselves, as a
// control VM knows them from their polls. Bounded by the number of entry VMs.
class HandoverDirectory {
public:
    // How many entry VMs of its own data centre, and of others, a poller is told.
    static constexpr std::size_t localCount = 3;
    static constexpr std::size_t remoteCount = 3;

    // Records a poll. `ip` is 0 if the entry VM takes no requests now.
    void record(const std::string& entryVm, const std::string& dataCentre, std::uint32_t ip, base::TimePoint now);
    // Forgets entry VMs that have not polled since `before`.
    void expire(base::TimePoint before);
    // Returns the addresses of entry VMs other than the poller. Each poller is told others, so
    // that the requests of many are spread.
    std::vector<std::uint32_t> peersFor(const std::string& entryVm, const std::string& dataCentre) const;

private:
    struct Row {
        std::string dataCentre;
        std::uint32_t ip = 0;
        base::TimePoint polledAt;
    };

    std::map<std::string, Row> rows_;
};

} // namespace arbutus::fleet
