#include "coltsfootbend/gateway/server_choice.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Returns the level to which the lowest scores rise when `amount` requests are distributed by water-filling: each
// request goes to the server with the lowest score.
double waterLevel(std::vector<double> scores, double amount)
{
    std::sort(scores.begin(), scores.end());
    double sum = 0;
    double level = 0;
    for (std::size_t filled = 1; filled <= scores.size(); ++filled) {
        sum += scores[filled - 1];
        level = (amount + sum) / static_cast<double>(filled);
        if (filled == scores.size() || level <= scores[filled])
            break;
    }
    return level;
}

} // namespace

// Chooses each server with a probability in proportion to the unreported requests that water-filling assigns to it.
std::size_t chooseServer(const std::vector<double>& scores, double unreported, double uniform)
{
    const double level = waterLevel(scores, unreported);
    double point = uniform * unreported;
    for (std::size_t i = 0; i < scores.size(); ++i) {
        point -= std::max(0.0, level - scores[i]);
        if (point <= 0)
            return i;
    }
    return static_cast<std::size_t>(std::min_element(scores.begin(), scores.end()) - scores.begin());
}

} // namespace coltsfootbend
