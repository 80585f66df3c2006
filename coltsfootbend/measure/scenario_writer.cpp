#include "coltsfootbend/measure/scenario.h"

#include <nlohmann/json.hpp>

namespace coltsfootbend {

void figure_writer::write(std::string_view figure, double value, std::string_view unit, std::optional<double> baseline,
    std::string_view baselineName)
{
    nlohmann::ordered_json line { { "scenario", m_scenario }, { "figure", figure }, { "value", value },
        { "unit", unit } };
    line["baseline"] = baseline ? nlohmann::ordered_json(*baseline) : nlohmann::ordered_json();
    if (!baselineName.empty())
        line["baseline_name"] = baselineName;
    m_out << line.dump() << std::endl;
}

} // namespace coltsfootbend
