#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::http {

enum class MetricKind {
    Counter,
    Gauge,
};

struct Metric {
    // Name without the prefix "arbutus_".
    std::string name;
    std::string help;
    MetricKind kind = MetricKind::Counter;
    double value = 0;
};

// Returns the metrics in Prometheus text format.
std::string metricsText(const std::vector<Metric>&);

} // namespace arbutus::http
