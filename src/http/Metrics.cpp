#include "include/http/Metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace arbutus::http {

std::string metricsText(const std::vector<Metric>& metrics)
{
    std::vector<prometheus::MetricFamily> families;
    for (const auto& metric : metrics) {
        prometheus::MetricFamily family;
        family.name = "arbutus_" + metric.name;
        family.help = metric.help;
        prometheus::ClientMetric sample;
        if (metric.kind == MetricKind::Counter) {
            family.type = prometheus::MetricType::Counter;
            sample.counter.value = metric.value;
        } else {
            family.type = prometheus::MetricType::Gauge;
            sample.gauge.value = metric.value;
        }
        family.metric.push_back(sample);
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace arbutus::http
