#include "include/routes/RouteConfiguration.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace arbutus::routes {

using base::Result;

const AcceleratorKind* LayeredModel::kind(const std::string& name) const
{
    auto found = std::find_if(kinds.begin(), kinds.end(), [&name](const AcceleratorKind& kind) { return kind.name == name; });
    return found == kinds.end() ? nullptr : &*found;
}

static base::Error invalid(std::string detail) { return base::makeError(base::ErrorKind::SheetInvalid, std::move(detail)); }

static Result<void> validateRoute(const Route& route, const std::set<std::string>& services)
{
    const auto& prefix = route.pathPrefix;
    if (route.host.empty() || prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return invalid(fmt::format("route {} needs a host and a prefix that begins and ends with a slash", route.name));
    if (route.timeout.count() <= 0)
        return invalid(fmt::format("route {} has no timeout", route.name));
    if (route.maxAttempts < 1)
        return invalid(fmt::format("route {} allows no attempt", route.name));
    double sum = 0;
    for (const auto& share : route.shares) {
        if (!services.count(share.service))
            return invalid(fmt::format("route {} names the unknown service '{}'", route.name, share.service));
        if (!std::isfinite(share.weight) || share.weight < 0)
            return invalid(fmt::format("route {} has an invalid weight", route.name));
        sum += share.weight;
    }
    if (sum <= 0)
        return invalid(fmt::format("the weights of route {} add up to 0", route.name));
    return base::outcome::success();
}

static Result<void> validateTeams(const std::vector<Team>& teams)
{
    std::set<std::string> keys;
    for (const auto& team : teams) {
        std::set<std::string> own(team.keys.begin(), team.keys.end());
        for (const auto& key : own) {
            if (!keys.insert(key).second)
                return invalid(fmt::format("team {} shares a key with another team", team.name));
        }
    }
    return base::outcome::success();
}

Result<void> validate(const RouteConfiguration& configuration)
{
    std::set<std::string> services;
    for (const auto& service : configuration.services) {
        if (service.name.empty() || !services.insert(service.name).second)
            return invalid(fmt::format("the service name '{}' is empty or used twice", service.name));
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& route : configuration.routes) {
        BOOST_OUTCOME_TRYV(validateRoute(route, services));
        if (!places.emplace(route.host, route.pathPrefix).second)
            return invalid(fmt::format("two routes have the host {} and the prefix {}", route.host, route.pathPrefix));
    }
    return validateTeams(configuration.teams);
}

} // namespace arbutus::routes
