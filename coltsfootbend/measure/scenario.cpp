#include "coltsfootbend/measure/scenario.h"

namespace coltsfootbend {

const std::vector<scenario>& scenarios()
{
    static const std::vector<scenario> all = [] {
        std::vector<scenario> collected;
        for (const auto& part : { requestScenarios(), fleetScenarios(), groupScenarios(), rebalanceScenarios(),
                 membershipScenarios(), costScenarios() })
            collected.insert(collected.end(), part.begin(), part.end());
        return collected;
    }();
    return all;
}

} // namespace coltsfootbend
