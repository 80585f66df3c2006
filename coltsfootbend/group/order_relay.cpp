#include "coltsfootbend/group/order_relay.h"

#include "coltsfootbend/group/relayed_states.h"

#include <algorithm>
#include <memory>

namespace coltsfootbend {

namespace {

using target_list = std::vector<wire::relay_target>;

// Appends `targets` to `branches`, split into at most `parts` lists of about equal length.
void splitEvenly(const target_list& targets, std::size_t parts, std::vector<target_list>& branches)
{
    parts = std::min(parts, targets.size());
    for (std::size_t part = 0; part < parts; ++part) {
        const auto begin = targets.begin() + static_cast<std::ptrdiff_t>(targets.size() * part / parts);
        const auto end = targets.begin() + static_cast<std::ptrdiff_t>(targets.size() * (part + 1) / parts);
        branches.emplace_back(begin, end);
    }
}

} // namespace

std::vector<target_list> splitTargets(const target_list& targets, std::size_t fanOut)
{
    std::vector<target_list> byDataCentre;
    for (const auto& target : targets) {
        if (byDataCentre.empty() || byDataCentre.back().front().dataCentre != target.dataCentre)
            byDataCentre.emplace_back();
        byDataCentre.back().push_back(target);
    }
    std::vector<target_list> branches;
    if (byDataCentre.empty())
        return branches;
    splitEvenly(byDataCentre.front(), fanOut, branches);
    const auto nearBranches = branches.size();
    const auto others = byDataCentre.size() - 1;
    branches.resize(nearBranches + std::min(others, fanOut));
    for (std::size_t i = 0; i < others; ++i) {
        auto& branch = branches[nearBranches + i * (branches.size() - nearBranches) / others];
        const auto& added = byDataCentre[i + 1];
        branch.insert(branch.end(), added.begin(), added.end());
    }
    return branches;
}

// State of one call of `deliver`. Outlives the call, because a branch may answer after the deadline.
struct order_relay::delivery {
    delivery(fiber_runtime& runtime, const wire::rank_order& order, std::size_t branches)
        : order(order)
        , pending(runtime, branches)
    {
    }

    const wire::rank_order order;
    gathered_states gathered;
    pending_answers pending;
};

gathered_states order_relay::deliver(
    const wire::rank_order& order, const target_list& targets, time_point deadline, const rank_heartbeat& heartbeat)
{
    auto branches = splitTargets(targets, m_options.fanOut);
    auto current = std::make_shared<delivery>(m_runtime, order, branches.size());
    for (auto& branch : branches) {
        m_runtime.spawn([this, current, branch = std::move(branch), deadline] {
            deliverBranch(*current, branch, deadline);
            current->pending.onAnswered();
        });
    }
    current->pending.wait(deadline, heartbeat);
    return std::move(current->gathered);
}

// Sends the order for the whole branch to its first target. If that target does not accept it, the next target takes
// its place, and the failed one gets no order.
void order_relay::deliverBranch(delivery& current, const target_list& branch, time_point deadline)
{
    for (std::size_t first = 0; first < branch.size(); ++first) {
        const auto now = clock_type::now();
        const auto limit = deadline - m_options.hopSlack;
        if (now >= limit)
            return;
        if (isUnresponsive(branch[first].host))
            continue;
        const wire::relayed_order message { .order = current.order,
            .own = branch[first],
            .others = { branch.begin() + static_cast<std::ptrdiff_t>(first) + 1, branch.end() },
            .timeLeftMs
            = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(limit - now).count()) };
        const auto answers = m_transport.send(message, deadline);
        if (answers) {
            for (auto& state : unpackStates(*answers))
                current.gathered.states.push_back(std::move(state));
            addCounts(current.gathered.demand, answers->demand);
            return;
        }
        markUnresponsive(branch[first].host);
    }
}

void order_relay::markUnresponsive(const std::string& host)
{
    const auto now = clock_type::now();
    std::erase_if(m_unresponsiveUntil, [now](const auto& entry) { return entry.second <= now; });
    m_unresponsiveUntil[host] = now + m_options.unresponsivePeriod;
}

bool order_relay::isUnresponsive(const std::string& host) const
{
    const auto found = m_unresponsiveUntil.find(host);
    return found != m_unresponsiveUntil.end() && clock_type::now() < found->second;
}

} // namespace coltsfootbend
