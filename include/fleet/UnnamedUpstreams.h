#pragma once

#include "include/fleet/UpstreamRecord.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fleet {

// Records of services that the configuration in force does not name. They own no address and are
// told to nobody; a later configuration may name their service. Not thread-safe.
class UnnamedUpstreams {
public:
    // Beyond this, the record that was stored first is dropped. An upstream in use reports again
    // within seconds.
    static constexpr std::size_t capacity = 1024;

    // Keeps the record unless a later one of the same upstream is known. A leave is final for its
    // process.
    void store(UpstreamRecord);
    void markLeaving(const UpstreamProcess&);
    void remove(const std::string& id);
    // Removes and returns the records of these services.
    std::vector<UpstreamRecord> take(const std::set<std::string>& services);
    std::size_t size() const { return records_.size(); }

private:
    struct Stored {
        UpstreamRecord record;
        std::uint64_t number = 0;
    };

    std::map<std::string, Stored> records_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace arbutus::fleet
