#pragma once

#include "include/routes/RouteConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace arbutus::routes {

// The number of classes to which the priorities of a service are mapped.
constexpr int priorityClassCount = 10;

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

    // Returns whether routes that lead to the service differ in priority.
    bool differsInPriority(const std::string& service) const;
    // Returns the class of a priority at such a service, from 0 (most urgent) to
    // priorityClassCount - 1: its rank among the priorities of the service's routes and of all
    // teams. Neighbours share a class if there are more priorities than classes. 0 at any
    // other service.
    int priorityClass(const std::string& service, int priority) const;

private:
    explicit RouteTable(RouteConfiguration);

    void indexPriorities();

    RouteConfiguration configuration_;
    std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> routes_;
    std::unordered_map<std::string, const Team*> teams_;
    std::unordered_map<std::string, const Service*> services_;
    // The priorities of requests for each service whose routes differ in priority, ascending.
    std::unordered_map<std::string, std::vector<int>> priorities_;
};

// Returns the priority of a request: the team's if it has one, else the route's. `team` may be
// null.
int effectivePriority(const Route&, const Team* team);

// Picks a service by weight. `draw` must be in [0, 1) and is usually random.
const std::string& pickService(const Route&, double draw);

} // namespace arbutus::routes
