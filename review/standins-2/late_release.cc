// A case on expert maps: the machine of the leader of map changes stands still for a moment, while the worker that holds
// a pass leaves orders unanswered and carries them out late, in the order in which they were sent.
//
//     late_release PROGRAM FOLDER RECORD TROUBLE
//
// Exits with 1 if a pass began while two ranks had different maps, with 0 if none did, and with 2 if the case could not
// be played.

#include "group.hh"

using namespace world;

namespace {

constexpr int ranks = 4;
// Ordinary map changes before the trouble.
constexpr int ordinaryChanges = 14;
constexpr double warmUpLimit = 60;
// How long the leader's machine stands still: less than the time for which a group waits for a rank (`stall_ms`).
constexpr double freezeMs = 1400;
// How long orders to one worker are left unanswered, and how long after its arrival each is carried out.
constexpr double lateForSeconds = 5.5;
constexpr double lateBySeconds = 2.5;
constexpr double watchedSeconds = 9;
constexpr double afterwardsSeconds = 4;

int play(const std::string& program, const std::string& folder, bool hasTrouble)
{
    const auto net = drawNetwork(1, ranks);
    if (net.number == 0)
        return 2;
    // Never destroyed, because threads refer to them until the process ends.
    auto& rows = *new store;
    auto& group = *new engine_group(ranks);
    if (!rows.open(net.storeAddress()) || !group.open(net))
        return 2;
    rows.put("op", "config", engineConfiguration(7).dump());
    startHeartbeats(rows, net, group);
    sleepMs(200);
    auto& processes = *new supervisor(program, folder);
    processes.endAfter(115);
    processes.start("gateway-1", gatewaySettings(net, 1));
    for (int rank = 0; rank < ranks; ++rank)
        processes.start("agent-" + std::to_string(rank), agentSettings(net, rank));

    auto& isDue = *new std::atomic<bool>(false);
    auto& troubleAt = *new std::atomic<double>(-1);
    // The holder is the rank after the leader's; its hold is the last order before the ranks are armed.
    group.onOrder = [&](int rank, const std::string& operation, std::uint64_t, std::uint64_t) {
        if (operation != "hold" || !isDue.exchange(false))
            return;
        const int leader = (rank + ranks - 1) % ranks;
        troubleAt = seconds();
        record().line("TROUBLE: the machine of rank " + std::to_string(leader) + " stands still for 1.4 s; rank "
            + std::to_string(rank) + " leaves orders unanswered for 5.5 s and carries each out 2.5 s later");
        group.setLate(rank, seconds() + lateForSeconds, lateBySeconds);
        processes.signal("agent-" + std::to_string(leader), SIGSTOP);
        group.setFrozen(leader, true);
        std::thread([&group, &processes, leader] {
            sleepMs(freezeMs);
            group.setFrozen(leader, false);
            processes.signal("agent-" + std::to_string(leader), SIGCONT);
            record().line("the machine of rank " + std::to_string(leader) + " goes on");
        }).detach();
    };

    auto& clients = *new callers;
    sleepMs(2500);
    clients.start(net.callers(1), 10, 40);
    // Demand moves to another expert again and again, so that the map has to change.
    std::thread([&] {
        for (int hot = 0;; ++hot) {
            group.setHotExpert(hot * 5 % engine_group::experts);
            sleepMs(1500);
        }
    }).detach();

    while (group.switches < ordinaryChanges && seconds() < warmUpLimit && group.mixedPasses == 0)
        sleepMs(50);
    if (group.switches < ordinaryChanges && group.mixedPasses == 0) {
        record().line("too few map changes: " + std::to_string(group.switches.load()));
        return 2;
    }
    record().line("ordinary changes done: " + std::to_string(group.switches.load()) + ", orders "
        + std::to_string(group.orders.load()));
    const auto from = seconds();
    double firstMixedAt = -1;
    isDue = hasTrouble;
    while (hasTrouble && troubleAt < 0 && seconds() < from + 20)
        sleepMs(20);
    if (hasTrouble && troubleAt < 0) {
        record().line("no pass was held within 20 s");
        return 2;
    }
    auto until = seconds() + watchedSeconds;
    while (seconds() < until) {
        sleepMs(50);
        // Watches a little longer, to see whether the ranks come back to one map.
        if (group.mixedPasses > 0)
            until = std::min(until, firstMixedAt < 0 ? (firstMixedAt = seconds()) + afterwardsSeconds : until);
    }
    clients.stop();
    record().line("passes " + std::to_string(group.passes.load()) + ", of which with different maps "
        + std::to_string(group.mixedPasses.load()) + ", switches " + std::to_string(group.switches.load())
        + ", orders " + std::to_string(group.orders.load()) + ", of which unanswered and late "
        + std::to_string(group.lateOrders.load()) + "; requests sent " + std::to_string(clients.sent.load()) + ", served "
        + std::to_string(clients.served.load()) + ", refused " + std::to_string(clients.refused.load()) + ", failed "
        + std::to_string(clients.failed.load()) + ", runs " + std::to_string(group.runs.load()));
    record().line(group.mixedPasses > 0 ? "RESULT: MAP was broken" : "RESULT: MAP held");
    processes.killAll();
    return group.mixedPasses > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    endWithParent();
    std::signal(SIGPIPE, SIG_IGN);
    record().open(argv[3]);
    const int result = play(argv[1], argv[2], std::string(argv[4]) != "0");
    std::_Exit(result);
}
