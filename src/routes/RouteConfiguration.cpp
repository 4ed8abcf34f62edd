#include "include/routes/RouteConfiguration.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace arbutus::routes {

using base::Result;

const AcceleratorKind* LayeredModel::findAcceleratorKind(const std::string& name) const
{
    auto found = std::find_if(acceleratorKinds.begin(), acceleratorKinds.end(), [&name](const AcceleratorKind& kind) { return kind.name == name; });
    return found == acceleratorKinds.end() ? nullptr : &*found;
}

std::optional<std::chrono::duration<double, std::milli>> LayeredModel::delayBetween(const std::string& from, const std::string& target) const
{
    if (from == target)
        return std::chrono::duration<double, std::milli>(0);
    const DataCentreDelay* opposite = nullptr;
    for (const auto& delay : dataCentreDelays) {
        if (delay.from == from && delay.target == target)
            return delay.oneWay;
        if (delay.from == target && delay.target == from && !opposite)
            opposite = &delay;
    }
    return opposite ? std::optional(opposite->oneWay) : std::nullopt;
}

bool LayeredModel::hasDelays(const std::string& dataCentre) const
{
    return std::any_of(dataCentreDelays.begin(), dataCentreDelays.end(), [&dataCentre](const DataCentreDelay& delay) { return delay.from == dataCentre || delay.target == dataCentre; });
}

static base::Error invalid(std::string detail) { return base::makeError(base::ErrorKind::SheetInvalid, std::move(detail)); }

static Result<void> validateRoute(const Route& route, const std::set<std::string>& services)
{
    const auto& prefix = route.pathPrefix;
    if (route.host.empty() || prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return invalid(fmt::format("route {} needs a host and a prefix that begins and ends with a slash", route.name));
    if (route.timeout.count() <= 0)
        return invalid(fmt::format("route {} needs a positive timeout", route.name));
    if (route.maxAttempts < 1)
        return invalid(fmt::format("route {} must allow at least one attempt", route.name));
    double sum = 0;
    for (const auto& weighted : route.weightedServices) {
        if (!services.count(weighted.service))
            return invalid(fmt::format("route {} names the unknown service '{}'", route.name, weighted.service));
        if (!std::isfinite(weighted.weight) || weighted.weight < 0)
            return invalid(fmt::format("route {} has an invalid weight", route.name));
        sum += weighted.weight;
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
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto& route : configuration.routes) {
        BOOST_OUTCOME_TRYV(validateRoute(route, services));
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second)
            return invalid(fmt::format("two routes have the host {} and the prefix {}", route.host, route.pathPrefix));
    }
    return validateTeams(configuration.teams);
}

} // namespace arbutus::routes
