#include "coltsfootbend/metrics/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <fstream>
#include <limits>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace coltsfootbend {

namespace accumulators = boost::accumulators;

namespace {

constexpr const char* prefix = "coltsfootbend_";
constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

using distribution = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
        accumulators::tag::extended_p_square_quantile>>;

// Returns the name of a metric in the exposition format.
std::string keyOf(std::string_view name, const std::vector<metric_label>& labels)
{
    std::string key = prefix + std::string(name);
    if (labels.empty())
        return key;
    char separator = '{';
    for (const auto& label : labels) {
        key += separator + label.name + "=\"" + label.value + "\"";
        separator = ',';
    }
    return key + '}';
}

// Returns the resident memory of this process in bytes; 0 if the system does not report it.
double residentMemory()
{
    std::ifstream statm("/proc/self/statm");
    double allPages = 0;
    double residentPages = 0;
    if (!(statm >> allPages >> residentPages))
        return 0;
    return residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

// Returns the processor time that this process has used, in seconds.
double processorSeconds()
{
    rusage usage {};
    (void)::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        constexpr double microseconds = 1e6;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microseconds;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double secondsSinceEpoch()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

struct metrics_service::summary {
    summary()
        : values(accumulators::extended_p_square_probabilities = quantiles)
    {
    }
    distribution values;
};

metrics_service::metrics_service()
{
    gauge("resident_memory_bytes", residentMemory);
    gauge("processor_seconds", processorSeconds);
    gauge("start_time_seconds", [startedAt = secondsSinceEpoch()] { return startedAt; });
}

metrics_service::~metrics_service() = default;

void metrics_service::count(std::string_view name, const std::vector<metric_label>& labels, std::uint64_t by)
{
    m_counters[keyOf(name, labels)] += by;
}

void metrics_service::observe(std::string_view name, double value)
{
    auto found = m_summaries.find(name);
    if (found == m_summaries.end())
        found = m_summaries.emplace(std::string(name), std::make_unique<summary>()).first;
    found->second->values(value);
}

void metrics_service::gauge(
    std::string_view name, const std::vector<metric_label>& labels, std::function<double()> read)
{
    m_gauges[keyOf(name, labels)] = std::move(read);
}

std::string metrics_service::text() const
{
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    for (const auto& [key, value] : m_counters)
        out << key << ' ' << value << '\n';
    for (const auto& [key, read] : m_gauges)
        out << key << ' ' << read() << '\n';
    for (const auto& [name, summary] : m_summaries) {
        const auto count = accumulators::count(summary->values);
        for (const double quantile : quantiles) {
            out << prefix << name << "{quantile=\"" << quantile << "\"} "
                << accumulators::quantile(summary->values, accumulators::quantile_probability = quantile) << '\n';
        }
        out << prefix << name << "_sum " << accumulators::sum(summary->values) << '\n';
        out << prefix << name << "_count " << count << '\n';
    }
    return out.str();
}

} // namespace coltsfootbend
