#pragma once

// Runs the leader's side of expert map changes in one group. Each round collects the state of all ranks, completes a
// change that a previous leader left unfinished and, when demand no longer fits the map in use, plans a better map and
// switches all ranks to it at the same pass. Every rank has to take part in a change, so two concurrent leaders cannot
// both complete one. Blocks the calling fiber. Not for a rank's own part in a change: see `group/map_participant.h`.
//
//     while (participant.term() == term)
//         runtime.sleepFor(leader.runRound(term));

#include "coltsfootbend/group/demand_estimator.h"
#include "coltsfootbend/group/group_state.h"
#include "coltsfootbend/group/rank_channel.h"
#include "coltsfootbend/group/switch_timing.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace coltsfootbend {

// The leader of one group's map changes, in use while the local rank holds the highest term. "Local" means the rank of
// this process.
class map_leader {
public:
    struct options {
        map_planner::options planner;
        // Number of expert sets of the model, and of experts in each set.
        std::uint32_t sets = 0;
        std::uint32_t experts = 0;
        // Maximum number of other ranks whose expert counts are requested: enough to estimate demand, few enough not to
        // load the links.
        std::uint32_t maxDemandSources = 16;
        // Requests that one rank runs concurrently.
        std::uint32_t slots = 1;
        // Interval between two rounds that collect expert counts.
        duration roundInterval = std::chrono::milliseconds(200);
        // Minimum reduction of the mean skew for which a change is made.
        double minGain = 0.06;
        // Interval of the heartbeats by which the ranks know during a long step that the leader is alive.
        duration heartbeatInterval = std::chrono::milliseconds(400);
        // Timeout of a query to all ranks.
        duration queryTimeout = std::chrono::milliseconds(300);
        // Timeout of preparing a map on all ranks, which includes copying experts.
        duration prepareTimeout = std::chrono::milliseconds(2500);
        // Timeout of an arm or disarm order to all ranks.
        duration armTimeout = std::chrono::milliseconds(800);
        switch_timing::options timing {};
    };

    // `dispatcher` sends orders to many ranks at once; it must outlive the leader.
    map_leader(fiber_runtime&, map_participant& participant, order_dispatcher&, const options&,
        std::minstd_rand::result_type seed);

    // Sets the channels to the other ranks of the group. Ranks of other groups may be included: they are queried but
    // receive no orders. Takes effect at the next round.
    void setPeers(std::vector<std::shared_ptr<rank_channel>> peers) { m_peers = std::move(peers); }

    // Runs one round as leader with `term`. Returns the delay until the next round is due.
    duration runRound(leader_term term);

    // Returns whether all ranks of the group answered the last round.
    bool allRanksAnswered() const { return m_allRanksAnswered; }

private:
    // Another rank that reported the leader's own formation in this round.
    struct member {
        rank_number rank = 0;
        std::shared_ptr<rank_channel> channel;
    };

    using states_by_rank = std::vector<std::optional<wire::rank_state>>;

    // Queries all ranks, and updates the list of members of the leader's formation.
    states_by_rank collectStates(duration timeout);
    // Sends a query to all ranks during a long step, so that they do not assume that the leader has failed.
    void sendHeartbeat();
    // Returns the scope that every query to a rank of the leader's formation carries.
    wire::order_scope queryScope(rank_number) const;
    // Returns the scope of the next order, with a new serial number.
    wire::order_scope nextOrderScope();
    // Sends `order` to all addressees concurrently, and yields to a newer leader whose term an answer reports.
    dispatch_result sendToAll(const wire::rank_order&, const std::vector<addressee>&, duration timeout);
    // Sends an order to the local rank and to `members` concurrently. The local rank's answer is the first element.
    template <typename Order>
    std::vector<result<wire::rank_state>> orderAll(Order, const std::vector<member>& members, duration timeout);
    // Sends an order to all members, without the local rank.
    template <typename Order> std::vector<result<wire::rank_state>> orderMembers(Order, duration timeout);
    // Marks the addressees whose expert counts are requested.
    void selectDemandSources(std::vector<addressee>&) const;
    std::vector<addressee> addresseesOf(const std::vector<member>&) const;
    // Yields to the leader of a higher term that `state` reports.
    void yieldToHigherTerm(const wire::rank_state&);
    // Updates the demand estimate, the formation and the pass duration from a round of states.
    void updateEstimates(const states_by_rank&);
    // Logs why the leader has to wait, once for each change of the reason.
    void logWaitReason(const group_resolution&, const states_by_rank&);
    // Drops the known map when the group has formed anew or an engine has restarted: such a group uses its initial map
    // again.
    void updateFormation(const states_by_rank&);
    // Returns whether `m_map` is the map in use that `state` reports.
    bool isMapKnown(const wire::rank_state& state) const;
    // Plans a map for the estimated demand and brings it into use if the gain is sufficient. Returns the delay until
    // the next round.
    duration planAndChange(const states_by_rank&);
    // Returns the factor by which the required gain is raised in a group with idle capacity: skew costs time only where
    // ranks are busy.
    double idleGainFactor(const states_by_rank&) const;
    // Prepares, holds, arms and releases one map change.
    void executeChange(const states_by_rank&, const map_plan&);
    // Prepares `map` on all ranks. Returns the latest pass that any of them has begun, or none if any rank did not
    // prepare it.
    std::optional<pass_number> prepareAll(engine_map_version version, const group_map& map);
    // Holds a pass far enough ahead for arming. Returns its number, or none if no hold was confirmed.
    std::optional<pass_number> holdFuturePass(pass_number step);
    // Holds the pass `step` at the given rank. Returns the rank's state afterwards.
    result<wire::rank_state> holdPassAt(const member&, pass_number step);
    // Returns the rank at which passes are held, which is never the local rank; null if there is no other member.
    const member* holder() const;
    // Queries all ranks again, and returns whether their states lead to the same resolution.
    bool isConfirmed(const group_resolution&);
    // Arms all ranks for `target`, the local rank last. Returns whether all of them are confirmed to be armed.
    bool armAll(const armed_switch&);
    // Orders all ranks to disarm the switch to the given version.
    void disarmAll(engine_map_version);
    // Retires the change and releases the pass that is held for it. Returns the delay until the next round.
    duration retireAndRelease(const group_resolution&, const states_by_rank&);
    // Makes sure that no rank can be armed any more for a map that has been prepared until now, so that the pass that
    // is held for it can be released. Returns false while that is not confirmed for every rank but the one of a
    // previous leader that does not answer; the next round continues then.
    bool retireChange(const group_resolution&, const states_by_rank&);
    // Returns whether this leader has begun to retire the change for the pass that is held now.
    bool isRetiring(const group_resolution&) const;
    // Begins to retire a change, or continues if it is the same one.
    void beginRetirement(const group_resolution&, const states_by_rank&);
    // Prepares the retirement's marker on one rank that is not armed. Returns whether a rank is confirmed to have it.
    bool markRetirement(const group_map&, const states_by_rank&);
    // Prepares the retirement's version on all ranks that are not confirmed yet. Returns whether all of `ranks` ranks
    // are.
    bool retireOthers(const group_map&, std::size_t ranks);
    // Orders one rank to prepare a map. Returns whether it is confirmed to have done so.
    bool prepareAt(rank_number, engine_map_version, const group_map&);
    // Returns a map that every rank can prepare without new copies; none, and requests the map in use, if none is
    // known.
    std::optional<group_map> retirementMap(const states_by_rank&);
    // Takes the map in use from the ranks' reports. Returns false if they do not contain it.
    bool learnMap(const states_by_rank&);
    // Releases the pass at the rank that holds it, or at all ranks if that rank does not confirm.
    void releaseHeldPass(pass_number step);
    // Orders all ranks to release the pass `step`.
    void releaseAll(pass_number step);
    // Returns whether `state` belongs to the leader's group and epoch.
    bool isOfFormation(const wire::rank_state& state) const { return state.group == m_group && state.epoch == m_epoch; }
    // Returns whether another rank has claimed a higher term.
    bool isSuperseded() const { return m_participant.term() != m_term; }

    fiber_runtime& m_runtime;
    map_participant& m_participant;
    order_dispatcher& m_dispatcher;
    const options m_options;
    const map_planner m_planner;
    std::minstd_rand m_random;
    std::vector<std::shared_ptr<rank_channel>> m_peers;
    // Reached ranks of the leader's formation, in cyclic order from the rank after the local one, and the index of the
    // one that holds passes.
    std::vector<member> m_members;
    std::size_t m_holderIndex = 0;
    bool m_allRanksAnswered = false;
    demand_estimator m_demand;
    std::vector<std::uint32_t> m_relayedDemand; // Expert counts of the last round, summed by the relaying ranks.
    leader_term m_term = 0;
    // Identifies this instance of a leader, since an earlier process may have led with the same term; and the number of
    // orders that it has sent.
    const std::uint64_t m_leaderRun;
    std::uint64_t m_serial = 0;
    group_epoch m_epoch = 0;
    std::vector<std::uint64_t> m_incarnations; // Incarnations of the engines by rank; 0 if not reported.
    std::string m_group;
    rank_number m_localRank = 0;
    std::string m_knownGroup; // Group to which the known map and incarnations belong.
    bool m_requestsMap = true; // Whether queries request each rank's part of the map in use.
    // Reason for which no change can be made at present; empty if changes are possible.
    std::string m_waitReason;
    engine_map_version m_mapVersion = 0;
    std::optional<group_map> m_map; // Map in use, version `m_mapVersion` of epoch `m_epoch`; none if unknown.
    // A change that this leader has begun to give up. One rank is marked: it prepares a version that no other one does,
    // so that no leader finds one version prepared on all ranks and arms them for it. The other ranks prepare
    // `version`.
    struct retirement {
        std::string group;
        group_epoch epoch = 0;
        leader_term term = 0;
        pass_number step = 0; // The held pass; 0 if none is held.
        engine_map_version version = 0;
        std::optional<rank_number> marked;
        std::size_t tried = 0; // Number of ranks that were not confirmed to be marked.
        std::set<rank_number> retired; // Ranks that are confirmed.
        std::optional<rank_number> missing; // The previous leader's rank, which arms itself last.
    };
    std::optional<retirement> m_retirement;
    // The last map that this leader has held a pass for.
    engine_map_version m_pendingVersion = 0;
    group_map m_pendingMap;
    switch_timing m_timing;
};

} // namespace coltsfootbend
