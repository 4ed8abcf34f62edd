#pragma once

#include "include/routes/RouteConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace arbutus::routes {

// A valid configuration, indexed for lookup. Immutable, so that a request keeps
// the table under which it was accepted.
class RouteTable {
public:
    // `configuration` must have passed validate().
    static std::shared_ptr<const RouteTable> Make(RouteConfiguration configuration);

    std::uint64_t version() const { return configuration_.version; }
    const CallerLimits& limits() const { return configuration_.limits; }
    const std::vector<Service>& services() const { return configuration_.services; }

    // The route of the host with the longest prefix that begins the path; null if
    // there is none. A port behind the host and a query behind the path are ignored.
    const Route* match(std::string_view host, std::string_view target) const;

    bool needsKeys() const { return !configuration_.teams.empty(); }
    // The team that holds the key, or null.
    const Team* teamOf(const std::string& key) const;
    const Service* service(const std::string& name) const;

private:
    explicit RouteTable(RouteConfiguration);

    RouteConfiguration configuration_;
    std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> routes_;
    std::unordered_map<std::string, const Team*> teams_;
    std::unordered_map<std::string, const Service*> services_;
};

// Picks a service by weight; `draw` lies in [0, 1).
const std::string& pickService(const Route&, double draw);

} // namespace arbutus::routes
