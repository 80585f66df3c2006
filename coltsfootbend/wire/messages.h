#pragma once

// Every message that the system's processes send each other. They travel as MessagePack on HTTP/2 streams: see
// `wire/codec.h` for the bytes and docs/PROTOCOL.md for who sends what when. Times travel as what is left of them, for
// the clocks of two VMs are not compared.

#include "coltsfootbend/request/claim_ledger.h"
#include "coltsfootbend/request/request_flow.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootbend::wire {

// Entry to worker daemon: run this attempt.
struct dispatch {
    attempt_id attempt;
    incarnation workerLife;
    customer_id customer;
    std::uint32_t priority = 0;
    double weight = 1;
    std::uint64_t deadlineLeftUs = 0;
    std::uint64_t expectedServiceUs = 0;
    deployment_id deployment;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
};
// Worker daemon to entry, in answer to `dispatch` and `join`: the head, the bytes in order, and the end.
struct head {
    std::uint32_t status = 0;
    std::string contentType;
};
struct bytes {
    std::uint64_t offset = 0;
    std::string data;
};
struct end {
    std::uint64_t totalBytes = 0;
};
// Proof that the attempt was not started and never will be.
struct refused {
    refusal reason = refusal::None;
    std::uint64_t retryAfterMs = 0;
};
// It was started, and its answer will never be whole.
struct failed { };
// The addressed life of the worker daemon is over.
struct other_life { };

struct revoke {
    attempt_id attempt;
    incarnation workerLife;
};
struct revoke_reply {
    revoke_verdict verdict = revoke_verdict::Forgotten;
};
// Sends the answer of an attempt from `offset` on, as far as it is and as it comes.
struct join {
    attempt_id attempt;
    incarnation workerLife;
    std::uint64_t offset = 0;
};
// The entry's caller is gone and nobody else may join: the engine need not go on.
struct cancel {
    attempt_id attempt;
    incarnation workerLife;
};

// Entry to the key's home.
struct claim {
    claim_request request;
};
struct claim_reply {
    claim_verdict verdict = claim_verdict::CannotRuleOut;
    std::vector<claim_holder> holder; // None or one.
};
struct close {
    customer_key key;
    std::uint32_t attemptNumber = 0;
    std::vector<attempt_id> releases; // None or one.
    incarnation ticketLife;
};

// What a worker daemon measures of its load.
struct load {
    std::vector<std::uint64_t> pendingServiceUs; // See `load_report`.
    std::uint32_t slots = 1;
    std::uint64_t groupSlowestPendingUs = 0;
    std::uint64_t ageUs = 0;
};
// Worker daemon to the entry VMs that route to it.
struct announce {
    vm_id worker;
    incarnation life;
    data_centre_id dataCentre;
    std::string address;
    std::vector<deployment_id> deployments;
    bool leaving = false;
    load current;
    // When the next announcement is due; silence for several times as long is suspicious.
    std::uint64_t nextWithinUs = 1'000'000;
};
struct acknowledge { };

// Any process to one that has a newer configuration.
struct config_request {
    config_version have;
};
struct config_step {
    config_version version;
    patch_id id;
    std::string actor;
    std::uint64_t acceptedAtMs = 0; // Wall clock of the accepting entry VM, for the audit trail only.
    std::string mergePatch;
    // The merge patch that takes it back, and so the values before; kept with the platform, not sent between processes.
    std::string undoPatch;
};
struct config_reply {
    config_version base; // Of `document`; when it is none, `steps` continue from what the asker has.
    std::string document;
    std::vector<config_step> steps;
};
// A new configuration is in force; pull it from the sender.
struct config_notice { };

// An operator wants this worker daemon to leave.
struct drain {
    std::string actor;
};

// Any process to one that may know a newer deployment than it: what does it know? Answered by `deployment_knowledge`,
// so that the rows themselves are read from one process only.
struct deployment_inquiry { };
// To one that knows a newer deployment. Revisions are the store's.
struct deployment_request {
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversRevision = 0;
};
struct stored_row {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};
// A table is whole, or left out (revision 0) when the sender knows nothing newer.
struct deployment_reply {
    std::uint64_t configurationRevision = 0;
    std::vector<stored_row> configuration;
    std::uint64_t serversRevision = 0;
    std::vector<stored_row> servers;
};

// Whom a leader's message concerns: the rank obeys only if all of it holds. Groups that are formed anew may take each
// other's members while their epochs count alike, so that no part of it suffices alone.
struct order_scope {
    std::uint64_t term = 0; // Agents obey the highest that they have seen in their group.
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t life = 0; // Of the rank's engine, as the leader knows it; 0 where it was not told.
    // Each order of one run of a leader has a higher number than those before, and a rank that has seen one carries out
    // none below it: a copy of an order may wait at an agent that was gone round, and come after what followed it.
    std::uint64_t leaderRun = 0;
    std::uint64_t serial = 0; // 0 for queries, which order nothing.
};

// The leading rank agent of a group to the others: asks for the state of a rank, and for how often its requests chose
// each expert since the last answer to this term.
struct rank_query {
    order_scope scope;
    bool wantsDemand = false;
    bool wantsMap = false;
};
struct rank_state {
    std::uint64_t term = 0; // The highest seen; above the asker's when it is refused.
    std::string group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    bool isOpen = false;
    std::uint64_t step = 0;
    std::uint64_t mapVersion = 0;
    std::uint64_t preparedVersion = 0;
    std::uint64_t armedVersion = 0; // Armed, or perhaps: an order that was not answered may still be carried out.
    std::uint64_t armedStep = 0;
    bool isArmUncertain = false;
    std::uint64_t heldStep = 0;
    std::uint64_t highestVersion = 0; // Ever offered to this rank in this epoch, as far as the agent knows.
    double pace = 1; // Above 1 the engine is slow.
    std::uint32_t requests = 0; // Running and waiting.
    bool lacksBase = false; // The map that the offered changes apply to is not known here: send the whole map.
    std::vector<std::uint32_t> demand; // By set and expert; empty unless asked for.
    std::vector<std::vector<std::uint32_t>> map; // Experts of this rank in use, by set; empty unless asked for.
    std::uint64_t life = 0; // Of the engine: Unix milliseconds of its start; 0 where it does not tell.
    std::uint64_t preparedTerm = 0; // Whose order prepared `preparedVersion`; 0 where that is not known.
    std::uint32_t target = 0; // Of the `relay_target` that this answers, where the order came by way of other ranks.
};
// What one rank holds of one set.
struct rank_row {
    std::uint32_t set = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> experts;
};
// One step of a map change for the addressed rank. The answer is `rank_state` once the step is confirmed or failed.
struct rank_prepare {
    order_scope scope;
    std::uint64_t version = 0;
    std::vector<std::vector<std::vector<std::uint32_t>>> map; // Experts, by set and rank; empty for changes to another.
    std::uint64_t baseVersion = 0; // The map that `changes` apply to.
    std::vector<rank_row> changes;
};
struct rank_arm {
    order_scope scope;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
};

// A prepared map that not every rank can take any more.
struct rank_disarm {
    order_scope scope;
    std::uint64_t version = 0;
};
// Lets the group begin pass `step`, at which the addressed rank holds it.
struct rank_release {
    order_scope scope;
    std::uint64_t step = 0;
};

using rank_order = std::variant<rank_query, rank_prepare, rank_arm, rank_disarm, rank_release>;

// One of the ranks that a relayed order is for.
struct relay_target {
    std::uint32_t number = 0; // Chosen by the leader; the answer repeats it.
    std::string host; // Where the rank's agent listens, on the port that all agents share.
    std::uint64_t life = 0; // For the scope of the order to this rank.
    std::uint32_t dataCentre = 0; // Numbered by the leader.
    bool tellsDemand = false; // Where the order asks for counts, this rank is one that tells its own.
};
// A leader's order to many ranks, handed on from agent to agent: `own` is for the addressed one, which hands the order
// on to `others`. While they work it sends `acknowledge` time and again, and at last `relayed_answers`.
struct relayed_order {
    rank_order order; // Its scope names no life: each target has its own.
    relay_target own;
    std::vector<relay_target> others;
    std::uint64_t timeLeftMs = 0;
};
// What tells one rank's state from those of the others, in a group in which they agree on everything else.
struct rank_difference {
    std::uint32_t target = 0;
    std::uint32_t rank = 0;
    std::uint64_t life = 0;
    std::int64_t steps = 0; // Beyond the state that they have in common.
    std::uint32_t requests = 0;
    std::uint32_t pacePercent = 100;
};
// The states of many ranks. What most of them agree on travels once: see `group/relayed_states.h`.
struct relayed_answers {
    rank_state common;
    std::vector<rank_difference> alike;
    std::vector<rank_state> others;
    std::vector<std::uint32_t> demand; // Summed over the ranks that were asked for their counts.
};

// The store had nothing newer than `revision` of a table so long ago.
struct store_confirmation {
    static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t revision = 0;
    std::uint64_t ageMs = never;
};

// A gateway's part in following the store for all. Travels as its number.
enum class store_duty : std::uint32_t {
    Unknown, // No other process is known to follow the store.
    Check, // Follows it, and asks in between whether what polls tell can be believed, for all.
    Follow, // Follows it; another one asks.
    Rest, // Others follow it and ask; this one only if nothing is heard of them.
};

// What a gateway knows of the deployment, so that others hear who knows more than they do.
struct deployment_knowledge {
    store_confirmation configuration;
    store_confirmation servers;
    bool isServed = false; // It follows the store itself, which answers it.
    std::string dataCentre;
};

// Gateway to rank agent, as a datagram: tell me your engine's load for a while.
struct load_subscribe {
    deployment_knowledge knows;
};
// What a backend server has said in its answers of the requests that it takes from all gateways together.
struct server_limit {
    std::string server; // Its registered name.
    std::uint64_t life = 0; // Unix milliseconds of its start; 0 where it was not told.
    double perSecond = 0;
    bool isNamed = false; // False: it names no limit any more.
    std::uint64_t ageMs = 0; // Since a gateway heard it.
};
// Gateway to rank agent, as a datagram: what a server has said, and whether the gateway wants to send it a request.
struct permit_request {
    server_limit limit;
    bool wantsPermit = false;
    std::uint64_t serial = 0; // The reply repeats it.
};
// Rank agent to gateway, as a datagram: at once, and again when the permit is due.
struct permit_reply {
    server_limit limit; // The last word on the server.
    std::uint64_t serial = 0;
    bool isGranted = false;
    std::uint64_t expectedInMs = 0; // Where it is not granted: until it will be.
    std::uint32_t askers = 0; // Gateways that wait for permits of the server.
};

// Rank agent to the gateways that subscribed, as a datagram.
struct load_news {
    std::string engine; // Address at which the engine takes requests.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    double pace = 1;
    std::string group; // Empty for an engine without one.
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    bool isOpen = true;
    std::uint32_t ranks = 0; // Of the group.
    std::uint32_t subscribers = 0; // Gateways that this agent knows.
    std::string newsAt; // A gateway that knows more of the deployment than the addressed one; empty for none.
    std::uint64_t life = 0; // Of the engine: Unix milliseconds of its start; 0 where it does not tell.
    // The youngest that any gateway has told this agent.
    store_confirmation configuration;
    store_confirmation servers;
    std::uint32_t duty = 0; // The `store_duty` of the addressed gateway.
    std::uint64_t crashes = 0; // Digest of what this agent knows of requests under which servers crashed.
    std::vector<server_limit> limits; // Of servers for which this agent issues permits.
};

// A request was at a backend server when that crashed; see `quarantine/crash_history.h`.
struct crash_entry {
    std::string request; // Its fingerprint.
    std::string server; // The life of the server.
    std::uint64_t ageMs = 0;
    bool isCleared = false;
};
// Between gateways and rank agents, as a datagram: crashes that the sender knows of, perhaps in several parts.
struct crash_report {
    std::vector<crash_entry> entries;
    bool wantsAll = false; // The receiver is to tell all that it knows in turn.
};

// Gateway to rank agent: does anybody listen at this address, which is that of a backend server?
struct port_inquiry {
    std::string address;
};
struct port_finding {
    bool isKnown = false; // False where the agent cannot tell; the rest says nothing then.
    bool isRefused = false;
};

struct problem {
    std::uint32_t kind = 0;
    std::string message;
    std::string remedy;
};

using body = std::variant<dispatch, head, bytes, end, refused, failed, other_life, revoke, revoke_reply, join, cancel,
    claim, claim_reply, close, load, announce, acknowledge, config_request, config_reply, config_notice, problem, drain,
    deployment_request, deployment_reply, rank_query, rank_state, rank_prepare, rank_arm, load_subscribe, load_news,
    rank_release, rank_disarm, relayed_order, relayed_answers, crash_report, port_inquiry, port_finding,
    deployment_inquiry, deployment_knowledge, permit_request, permit_reply>;

// What every message carries besides its body.
struct message {
    vm_id sender;
    incarnation senderLife;
    config_version version; // The highest configuration that the sender has in force.
    body content;
};

} // namespace coltsfootbend::wire
