#include "include/routes/RouteTable.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace arbutus::routes {

std::shared_ptr<const RouteTable> RouteTable::Make(RouteConfiguration configuration)
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(RouteConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto& route : configuration_.routes)
        routes_[route.host][route.pathPrefix] = &route;
    for (const auto& team : configuration_.teams) {
        for (const auto& key : team.keys)
            teams_[key] = &team;
    }
    for (const auto& service : configuration_.services)
        services_[service.name] = &service;
    indexPriorities();
}

void RouteTable::indexPriorities()
{
    std::map<std::string, std::set<int>> byService;
    for (const auto& route : configuration_.routes) {
        for (const auto& [service, weight] : route.weightedServices) {
            if (weight > 0)
                byService[service].insert(route.priority);
        }
    }
    for (auto& [service, priorities] : byService) {
        if (priorities.size() < 2)
            continue;
        for (const auto& team : configuration_.teams) {
            if (team.priority)
                priorities.insert(*team.priority);
        }
        priorities_[service] = { priorities.begin(), priorities.end() };
    }
}

const Route* RouteTable::match(std::string_view host, std::string_view target) const
{
    host = host.substr(0, host.find(':'));
    auto path = target.substr(0, target.find_first_of("?#"));
    auto prefixes = routes_.find(std::string(host));
    if (prefixes == routes_.end())
        return nullptr;
    // Every prefix ends with a slash, so a prefix can end only at a slash of the path.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = slash ? path.rfind('/', slash - 1) : std::string_view::npos) {
        if (auto found = prefixes->second.find(std::string(path.substr(0, slash + 1))); found != prefixes->second.end())
            return found->second;
    }
    return nullptr;
}

const Team* RouteTable::teamOf(const std::string& key) const
{
    auto found = teams_.find(key);
    return found == teams_.end() ? nullptr : found->second;
}

const Service* RouteTable::service(const std::string& name) const
{
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

bool RouteTable::differsInPriority(const std::string& service) const { return priorities_.count(service) > 0; }

int RouteTable::priorityClass(const std::string& service, int priority) const
{
    auto found = priorities_.find(service);
    if (found == priorities_.end())
        return 0;
    const auto& known = found->second;
    auto rank = static_cast<std::size_t>(std::distance(known.begin(), std::lower_bound(known.begin(), known.end(), priority)));
    std::size_t classes = std::min<std::size_t>(known.size(), priorityClassCount);
    return static_cast<int>(std::min(rank * classes / known.size(), classes - 1));
}

int effectivePriority(const Route& route, const Team* team) { return team && team->priority ? *team->priority : route.priority; }

const std::string& pickService(const Route& route, double draw)
{
    double sum = std::accumulate(route.weightedServices.begin(), route.weightedServices.end(), 0.0, [](double total, const WeightedService& weighted) { return total + weighted.weight; });
    double remaining = draw * sum;
    for (const auto& weighted : route.weightedServices) {
        if (weighted.weight > 0 && remaining < weighted.weight)
            return weighted.service;
        remaining -= weighted.weight;
    }
    auto last = std::find_if(route.weightedServices.rbegin(), route.weightedServices.rend(), [](const WeightedService& weighted) { return weighted.weight > 0; });
    return last->service;
}

} // namespace arbutus::routes
