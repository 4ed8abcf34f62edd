#pragma once

#include "include/base/Random.h"

#include <fmt/format.h>

#include <string>

namespace arbutus::routes {

// Returns a configuration document whose routes have random names.
inline std::string makeDocument(std::uint64_t version, std::size_t routeCount)
{
    base::Random random(5);
    auto name = [&random] {
        std::string text;
        for (int i = 0; i < 7; ++i)
            text.push_back("abcdefghijklmnopqrstuvwxyz0123456789"[random.below(36)]);
        return text;
    };
    std::string document = fmt::format(R"({{"version":{},"routes":[)", version);
    for (std::size_t i = 0; i < routeCount; ++i) {
        // Each version changes the timeout of one route.
        auto timeout = i == version % routeCount ? 20000 + version : 20000;
        document += fmt::format(R"({{"name":"r-{}","host":"{}.example","path_prefix":"/{}/","route_type":"streaming","timeout_ms":{},"target_latency_ms":500,"priority":1,"service":"{}","max_attempts":2,"public":false}},)", name(), name(), name(), timeout, i % 5 ? "alpha" : "beta");
    }
    document.back() = ']';
    return document + "}";
}

} // namespace arbutus::routes
