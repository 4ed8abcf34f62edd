#pragma once

#include "include/routes/RouteConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace arbutus::routes {

// A valid route configuration, indexed for lookup. It is immutable, so a request can keep
// using the table under which it was accepted.
class RouteTable {
public:
    // `configuration` must have passed validate().
    static std::shared_ptr<const RouteTable> Make(RouteConfiguration configuration);

    std::uint64_t version() const { return configuration_.version; }
    const CallerLimits& limits() const { return configuration_.limits; }
    const std::vector<Service>& services() const { return configuration_.services; }
    const std::vector<Route>& routes() const { return configuration_.routes; }

    // Returns the route of the host with the longest path prefix that matches, or null if
    // there is none. Ignores the port of the host, and the query and fragment of the target.
    const Route* match(std::string_view host, std::string_view target) const;

    // Returns whether callers of non-public routes need an API key.
    bool needsKeys() const { return !configuration_.teams.empty(); }
    // Returns the team that owns the key, or null if the key is unknown.
    const Team* teamOf(const std::string& key) const;
    // Returns null if the service is unknown.
    const Service* service(const std::string& name) const;

private:
    explicit RouteTable(RouteConfiguration);

    RouteConfiguration configuration_;
    std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> routes_;
    std::unordered_map<std::string, const Team*> teams_;
    std::unordered_map<std::string, const Service*> services_;
};

// Picks a service by weight. `draw` must be in [0, 1) and is usually random.
const std::string& pickService(const Route&, double draw);

} // namespace arbutus::routes
