#pragma once

// A scenario measures some figures and writes each as one line of JSON. `scenarios()` lists all of them; each lives in
// a source file of its own.
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

class figure_writer {
public:
    figure_writer(std::string scenario, std::ostream& out)
        : m_scenario(std::move(scenario))
        , m_out(out)
    {
    }

    // Writes one figure. `baseline` is the same figure of the plain version that is named with it.
    void write(std::string_view figure, double value, std::string_view unit, std::optional<double> baseline = {},
        std::string_view baselineName = {});

private:
    const std::string m_scenario;
    std::ostream& m_out;
};

struct scenario {
    std::string name;
    std::string what;
    std::function<void(figure_writer&)> run;
};

const std::vector<scenario>& scenarios();

// The scenarios of each file.
std::vector<scenario> requestScenarios();
std::vector<scenario> fleetScenarios();
std::vector<scenario> groupScenarios();
std::vector<scenario> membershipScenarios();
std::vector<scenario> rebalanceScenarios();
std::vector<scenario> costScenarios();

} // namespace coltsfootbend
