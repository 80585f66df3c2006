#pragma once

// Counters, gauges and summaries of one process, in the text format that scrapers read. Names and labels only: never a
// body, prompt or key. Found by services through the kernel as "metrics".
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
#include <vector>

namespace coltsfootbend {

struct metric_label {
    std::string name;
    std::string value;
};

class metrics_service final : public service {
public:
    metrics_service();
    ~metrics_service() override;

    std::string_view name() const override { return "metrics"; }
    result<void> start(kernel&) override { return {}; }

    // Adds `by` to a counter. O(log metrics).
    void count(std::string_view name, const std::vector<metric_label>& labels = {}, std::uint64_t by = 1);

    // Takes one observation into a summary with the quantiles 0.5, 0.95 and 0.99, the sum and the count.
    void observe(std::string_view name, double value);

    // Registers a value that is read when asked for.
    void gauge(std::string name, std::function<double()> read);

    // Returns everything in the text exposition format, version 0.0.4.
    std::string text() const;

private:
    struct summary;

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, std::unique_ptr<summary>, std::less<>> m_summaries;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace coltsfootbend
