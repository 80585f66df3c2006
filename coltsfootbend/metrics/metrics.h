#pragma once

// Counters, gauges and summaries of one process, in the Prometheus text exposition format. Names and labels never
// contain request bodies, prompts or keys. Services find it in the kernel under the name "metrics".
//
//     metrics.count("requests_total", { { "outcome", "answer" } });
//     metrics.observe("request_seconds", seconds);
//     metrics.gauge("oldest_request_seconds", [] { return age; });

#include "coltsfootbend/kernel/kernel.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfootbend {

// A dimension of a counter and its value.
struct metric_label {
    std::string name;
    std::string value;
};

// Collects the metrics of one process.
class metrics_service final : public service {
public:
    metrics_service();
    ~metrics_service() override;

    std::string_view name() const override { return "metrics"; }
    result<void> start(kernel&) override { return {}; }

    // Adds `by` to a counter. O(log metrics).
    void count(std::string_view name, const std::vector<metric_label>& labels = {}, std::uint64_t by = 1);

    // Adds one observation to a summary with the quantiles 0.5, 0.95 and 0.99, the sum and the count.
    void observe(std::string_view name, double value);

    // Registers a gauge. `read` is called each time `text` is produced.
    void gauge(std::string_view name, std::function<double()> read) { gauge(name, {}, std::move(read)); }
    void gauge(std::string_view name, const std::vector<metric_label>& labels, std::function<double()> read);

    // Returns all metrics in the text exposition format, version 0.0.4.
    std::string text() const;

private:
    struct summary;

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, std::unique_ptr<summary>, std::less<>> m_summaries;
    std::map<std::string, std::function<double()>> m_gauges; // By name and labels.
};

} // namespace coltsfootbend
