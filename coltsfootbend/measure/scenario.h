#pragma once

// Declares the scenarios of `coltsfootbend_measure`. A scenario measures some figures and writes each of them as one
// line of JSON. `scenarios()` returns all of them; each source file defines related ones.
//
//     { "scenario": "requests", "figure": "requests.doubled", "value": 0, "unit": "requests", "baseline": 312 }

#include <algorithm>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Writes the figures of one scenario to a stream.
class figure_writer {
public:
    figure_writer(std::string scenario, std::ostream& out)
        : m_scenario(std::move(scenario))
        , m_out(out)
    {
    }

    // Writes one figure. `baseline` is the same figure of the baseline that `baselineName` describes.
    void write(std::string_view figure, double value, std::string_view unit, std::optional<double> baseline = {},
        std::string_view baselineName = {});

private:
    const std::string m_scenario;
    std::ostream& m_out;
};

// A named scenario, its description for `--list`, and the function that measures it.
struct scenario {
    std::string name;
    std::string description;
    std::function<void(figure_writer&)> run;
};

// Returns all scenarios.
const std::vector<scenario>& scenarios();

// Each function returns the scenarios of one source file.
std::vector<scenario> requestScenarios();
std::vector<scenario> fleetScenarios();
std::vector<scenario> groupScenarios();
std::vector<scenario> membershipScenarios();
std::vector<scenario> rebalanceScenarios();
std::vector<scenario> costScenarios();

} // namespace coltsfootbend
