#pragma once

// One rank's part in the changes of its group's expert map: reports the rank's state, and carries out orders of the
// leader with the highest term. Orders of an earlier leader that resumes after a stall have no effect. Not for deciding
// on changes: see `group/map_leader.h`.
//
//     map_participant participant(runtime, engine);
//     wire::rank_state state = *participant.answer(order, deadline);

#include "coltsfootbend/group/leader_term.h"
#include "coltsfootbend/group/rank_orders.h"
#include "coltsfootbend/wire/messages.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

class map_participant {
public:
    map_participant(fiber_runtime& runtime, rank_engine& engine)
        : m_engine(engine)
        , m_orders(runtime, engine)
    {
    }

    // Carries out `order` and returns the state of the rank afterwards, with the highest term received. Nothing was
    // done if that term is above the order's, or if the state is not of the formation that the order names. Fails if
    // the engine does not report its state.
    result<wire::rank_state> answer(const wire::rank_order& order, time_point deadline);

    // Takes in a report of the engine that was read independently of any order.
    void observe(const rank_report&);

    // Highest term received in the engine's group; 0 in a group that it has just joined.
    leader_term term() const { return m_term; }
    // Group that the engine belongs to; empty while unknown.
    const std::string& group() const { return m_group; }
    // Time of the last message from a current leader; also reset when the engine joins another group.
    time_point leaderReceivedAt() const { return m_leaderReceivedAt; }
    // True from the order to arm a switch until the leader releases the pass, or the engine reports that none is armed.
    bool isArmed() const { return m_isArmed; }
    // True while a map is prepared but not yet in use, so that a change is in progress.
    bool isPrepared() const { return m_isPrepared; }
    // Returns the last pass of `epoch` that this rank was ordered to release; 0 if there was none. The engine that held
    // it may still carry such an order out.
    pass_number lastReleasedStep(group_epoch epoch) const
    {
        return m_lastReleased.epoch == epoch ? m_lastReleased.step : 0;
    }
    // Returns the map `version` if it was ordered to be prepared here in the engine's formation; null otherwise.
    const group_map* knownMap(group_epoch, engine_map_version version) const;
    // Makes this rank the leader and returns its new term, which is above all terms received.
    leader_term claimLeadership(rank_number rank);
    // Returns whether this process leads as `rank`. It does not if the highest term is of this rank but was claimed by
    // another process, such as an earlier one on this VM.
    bool leads(rank_number rank) const { return m_term != 0 && m_term == m_claimedTerm && leaderOf(m_term) == rank; }
    // Takes in the term of a leader, as reported by another rank.
    void observeTerm(leader_term term) { (void)acceptTerm(term); }

private:
    result<wire::rank_state> query(const wire::rank_query&, wire::rank_state, time_point deadline);
    result<wire::rank_state> prepare(const wire::rank_prepare&, time_point deadline);
    result<wire::rank_state> arm(const wire::rank_arm&, time_point deadline);
    result<wire::rank_state> disarm(const wire::rank_disarm&, time_point deadline);
    result<wire::rank_state> release(const wire::rank_release&, time_point deadline);
    // Returns the whole map of the order; none if the order lists changes to a map that is not known here.
    std::optional<group_map> resolveMap(const wire::rank_prepare&);
    // Returns false for a term below the highest one received; otherwise records the term and the time.
    bool acceptTerm(leader_term term);
    // Returns false for an order that was issued before one already received; otherwise records its serial number.
    bool acceptSerial(const wire::order_scope&);
    // Returns false once a newer leader, or a newer order of the same leader, has been received.
    bool isCurrent(const wire::order_scope&) const;
    bool isAddressed(const wire::rank_order&, const wire::rank_state&) const;
    group_formation formationOf(const wire::order_scope&) const;
    // Discards state that belongs to another group.
    void enterGroup(const std::string& group);
    // Discards state of an earlier incarnation of the engine. Fails with `Stale` if the argument is an earlier one.
    result<void> enterIncarnation(engine_incarnation reported);
    result<wire::rank_state> stateOf(const rank_report&);
    result<wire::rank_state> readState(time_point deadline);
    void addDemand(wire::rank_state&, time_point deadline);
    result<void> addMap(wire::rank_state&, time_point deadline);

    rank_engine& m_engine;
    rank_orders m_orders;
    std::string m_group;
    leader_term m_term = 0;
    leader_term m_claimedTerm = 0; // The last term that this process has claimed in the engine's group; 0 if none.
    // Newest order received: the leader's run, and the order's serial number in it.
    std::uint64_t m_leaderRun = 0;
    std::uint64_t m_lastSerial = 0;
    time_point m_leaderReceivedAt {};
    bool m_isArmed = false;
    bool m_isPrepared = false;
    struct released_pass {
        group_epoch epoch = 0;
        pass_number step = 0;
    };
    released_pass m_lastReleased;
    // Last map that was ordered to be prepared, and the term of that order.
    engine_map_version m_preparedVersion = 0;
    leader_term m_preparedTerm = 0;
    engine_incarnation m_engineIncarnation;
    // Demand counts at the last answer, and the engine's incarnation then.
    std::vector<std::uint64_t> m_lastCounts;
    engine_incarnation m_lastCountsIncarnation;
    // Maps of the last orders to prepare, newest first; later orders may list only changes to one of them.
    struct known_map {
        group_formation formation;
        engine_map_version version = 0;
        group_map map;
    };
    std::vector<known_map> m_knownMaps;
};

} // namespace coltsfootbend
