#pragma once

// Messages that the processes of the system exchange, as MessagePack on HTTP/2 streams or in datagrams. `wire/codec.h`
// describes the encoding and docs/PROTOCOL.md the exchanges. Deadlines are sent as the time left and times of events as
// ages, because the clocks of two VMs are never compared.

#include "coltsfootbend/request/claim_ledger.h"
#include "coltsfootbend/request/request_flow.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootbend::wire {

// Entry to worker daemon: asks for an attempt to be run.
struct dispatch {
    attempt_id attempt;
    incarnation workerIncarnation;
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
// Worker daemon to entry, in answer to `dispatch` and `join`: the head of the response, its body in order, and its end.
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
// Worker daemon to entry: guarantees that the attempt was not started and never will be.
struct refused {
    refusal reason = refusal::None;
    std::uint64_t retryAfterMs = 0;
};
// Worker daemon to entry: the attempt was started, and its response will never be complete.
struct failed { };
// The addressed incarnation of the worker daemon has terminated; a later one received the message.
struct other_incarnation { };

// Entry to worker daemon: asks that an attempt is never started, or how far it has got.
struct revoke {
    attempt_id attempt;
    incarnation workerIncarnation;
};
struct revoke_reply {
    revoke_verdict verdict = revoke_verdict::Forgotten;
};
// Entry to worker daemon: asks for the response of an attempt from `offset` on, including the bytes still to come.
struct join {
    attempt_id attempt;
    incarnation workerIncarnation;
    std::uint64_t offset = 0;
};
// Entry to worker daemon: the caller has disconnected and no other caller can join the attempt, so the engine may stop.
struct cancel {
    attempt_id attempt;
    incarnation workerIncarnation;
};

// Entry to the home of an idempotency key: claims the key for an attempt.
struct claim {
    claim_request request;
};
struct claim_reply {
    claim_verdict verdict = claim_verdict::CannotRuleOut;
    std::vector<claim_holder> holder; // At most one element.
};
// Entry to the home of an idempotency key: closes the key for attempts up to `attemptNumber` (all of them if 0), so
// that the caller can be answered "not run". Releases the claim of the attempt in `releases`, if any.
struct close {
    customer_key key;
    std::uint32_t attemptNumber = 0;
    std::vector<attempt_id> releases; // At most one element.
    incarnation ticketIncarnation;
};

// The load that a worker daemon measures.
struct load {
    std::vector<std::uint64_t> pendingServiceUs; // See `load_report`.
    std::uint32_t slots = 1;
    std::uint64_t groupSlowestPendingUs = 0;
    std::uint64_t ageUs = 0;
};
// Worker daemon to the entry VMs that route to it.
struct announce {
    vm_id worker;
    incarnation workerIncarnation;
    data_centre_id dataCentre;
    std::string address;
    std::vector<deployment_id> deployments;
    bool leaving = false;
    load current;
    // Longest time until the next announcement. The worker is suspected when none arrives for several times as long.
    std::uint64_t nextWithinUs = 1'000'000;
};
struct acknowledge { };

// Any process to one that has a newer configuration: asks for the steps after `have`.
struct config_request {
    config_version have;
};
// One accepted patch of the configuration.
struct config_step {
    config_version version;
    patch_id id;
    std::string actor;
    std::uint64_t acceptedAtMs = 0; // Wall clock of the accepting entry VM; used only by the audit trail.
    std::string mergePatch;
    // Merge patch that reverts the step. Stored with the platform only, never sent between processes.
    std::string undoPatch;
};
struct config_reply {
    config_version base; // Version of `document`; when none, `steps` follow the requester's version.
    std::string document;
    std::vector<config_step> steps;
};
// Notifies the receiver that the sender has a new configuration in force, to be pulled from the sender.
struct config_notice { };

// Asks the process to finish its requests and stop, on behalf of an operator.
struct drain {
    std::string actor;
};

// Any process to one that may know a newer deployment: asks for the revisions that it knows. The reply,
// `deployment_knowledge`, lets the requester fetch the rows from a single process.
struct deployment_inquiry { };
// Any process to one that knows a newer deployment: asks for the tables newer than these states of the store, and for
// the configuration in force if its version is newer.
struct deployment_request {
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversRevision = 0;
    bool acceptsDifferences = false; // The reply may hold only the rows that changed since these revisions.
    std::uint64_t configurationEra = 0;
    std::uint64_t serversEra = 0;
    std::uint64_t version = 0; // Of the configuration in force at the requester.
};
// One row of a table of the store.
struct stored_row {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isDeleted = false;
    std::uint64_t era = 0;
};
// Answers `deployment_request`. A table is complete or a difference, or omitted (revision 0) when the sender has none
// newer.
struct deployment_reply {
    std::uint64_t configurationRevision = 0;
    std::vector<stored_row> configuration;
    std::uint64_t serversRevision = 0;
    std::vector<stored_row> servers;
    bool isConfigurationDifference = false; // Holds the rows changed or removed since the requester's revision.
    bool isServersDifference = false;
    std::uint64_t configurationEra = 0;
    std::uint64_t serversEra = 0;
    // The configuration in force at the sender if it is newer than the requester's and the table does not hold it: the
    // store has come back from a copy that is older than it. Empty or one row.
    std::vector<stored_row> configurationInForce;
};

// Addressee of a leader's message: a rank agent obeys only if every field matches. No single field suffices, because
// newly formed groups may take over each other's members while their epochs are equal.
struct order_scope {
    std::uint64_t term = 0; // Agents obey only the highest term that they have seen in their group.
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t engineIncarnation = 0; // Incarnation of the rank's engine as known to the leader; 0 if unknown.
    // Identifies one run of the leader. Within a run, `serial` rises with each order, and a rank carries out no order
    // with a lower serial than one it has seen: a copy delayed at a bypassed agent may arrive after later orders.
    std::uint64_t leaderRun = 0;
    std::uint64_t serial = 0; // 0 for queries, which change nothing.
};

// Leader of a group to a rank agent: asks for the state of the rank and, on request, for how often its requests chose
// each expert since its last answer in this term.
struct rank_query {
    order_scope scope;
    bool wantsDemand = false;
    bool wantsMap = false;
};
// Rank agent to the leader, in answer to a query or an order: the state of the rank.
struct rank_state {
    std::uint64_t term = 0; // Highest term seen; above the requester's when the message is refused.
    std::string group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    bool isOpen = false;
    std::uint64_t step = 0;
    std::uint64_t mapVersion = 0;
    std::uint64_t preparedVersion = 0;
    std::uint64_t armedVersion = 0; // Armed or possibly armed: an unanswered order may still be carried out.
    std::uint64_t armedStep = 0;
    bool isArmUncertain = false;
    std::uint64_t heldStep = 0;
    std::uint64_t highestVersion = 0; // Highest map version offered to this rank in this epoch, as known to the agent.
    double pace = 1; // Duration of passes relative to normal; the engine is slow above 1.
    std::uint32_t requests = 0; // Requests running and waiting.
    bool lacksBase = false; // The base map of the offered changes is unknown here; the whole map is needed.
    std::vector<std::uint32_t> demand; // Counts by set and expert; empty unless requested.
    std::vector<std::vector<std::uint32_t>> map; // Experts in use on this rank, by set; empty unless requested.
    std::uint64_t engineIncarnation = 0; // Start of the engine in Unix milliseconds; 0 if not reported.
    std::uint64_t preparedTerm = 0; // Term of the order that prepared `preparedVersion`; 0 if unknown.
    std::uint32_t target = 0; // Number of the `relay_target` that this answers, for relayed orders.
};
// Experts of one set that one rank holds.
struct rank_row {
    std::uint32_t set = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> experts;
};
// Asks the addressed rank to prepare a new expert map. Answered by `rank_state` once that is confirmed or has failed.
struct rank_prepare {
    order_scope scope;
    std::uint64_t version = 0;
    // Experts by set and rank; empty if `changes` are sent instead.
    std::vector<std::vector<std::vector<std::uint32_t>>> map;
    std::uint64_t baseVersion = 0; // Version of the map that `changes` apply to.
    std::vector<rank_row> changes;
};
// Asks the addressed rank to switch to a prepared map at `step`.
struct rank_arm {
    order_scope scope;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
};

// Withdraws a prepared map that not every rank of the group can switch to any more.
struct rank_disarm {
    order_scope scope;
    std::uint64_t version = 0;
};
// Lets the group begin pass `step`, at which the addressed rank is holding it.
struct rank_release {
    order_scope scope;
    std::uint64_t step = 0;
};

using rank_order = std::variant<rank_query, rank_prepare, rank_arm, rank_disarm, rank_release>;

// One of the ranks that a relayed order is addressed to.
struct relay_target {
    std::uint32_t number = 0; // Chosen by the leader; the answer repeats it.
    std::string host; // Host of the rank's agent, which listens on the port common to all agents.
    std::uint64_t engineIncarnation = 0; // Incarnation for the scope of the order to this rank.
    std::uint32_t dataCentre = 0; // Number assigned by the leader.
    bool reportsDemand = false; // Whether this rank reports its counts if the order asks for them.
};
// A leader's order to many ranks, relayed from agent to agent: `own` is the target at the receiver, which relays the
// order to `others`. It sends `acknowledge` repeatedly as a keep-alive while they work, and finally `relayed_answers`.
struct relayed_order {
    rank_order order; // Its scope names no incarnation: each target has its own.
    relay_target own;
    std::vector<relay_target> others;
    std::uint64_t timeLeftMs = 0;
};
// Differences between one rank's state and the state common to most ranks of a group.
struct rank_state_difference {
    std::uint32_t target = 0;
    std::uint32_t rank = 0;
    std::uint64_t engineIncarnation = 0;
    std::int64_t steps = 0; // Steps beyond those of the common state.
    std::uint32_t requests = 0;
    std::uint32_t pacePercent = 100;
};
// States of many ranks. The fields on which most of them agree are sent once: see `group/relayed_states.h`.
struct relayed_answers {
    rank_state common;
    std::vector<rank_state_difference> differences;
    std::vector<rank_state> others;
    std::vector<std::uint32_t> demand; // Sum over the ranks that were asked for their counts.
};

// States that the store had nothing newer than `revision` of a table `ageMs` ago, in its era `era`.
struct store_confirmation {
    static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t revision = 0;
    std::uint64_t ageMs = never;
    std::uint64_t era = 0;
};

// Part of a gateway in following the store on behalf of all processes. Encoded as its number.
enum class store_duty : std::uint32_t {
    Unknown, // No other process is known to follow the store.
    Check, // Follows the store and verifies between polls, for all, that their results are reliable.
    Follow, // Follows the store; another gateway verifies the results.
    Standby, // Other gateways follow and verify; this one does so only if no updates arrive from them.
};

// Revisions of the deployment that a process knows, from which others learn that it has newer ones.
struct deployment_knowledge {
    store_confirmation configuration;
    store_confirmation servers;
    bool isServed = false; // The process follows the store itself, and the store answers it.
    std::string dataCentre;
    bool isOnStandby = false; // Other gateways follow the store for the process and have recently confirmed its tables.
    std::uint64_t version = 0; // Of the configuration in force at the process.
};

// Gateway to rank agent, as a datagram: subscribes to the load of its engine for a limited time.
struct load_subscribe {
    deployment_knowledge knows;
};
// Rate limit that a backend server has stated in its responses, for all gateways together.
struct server_limit {
    std::string server; // Its registered name.
    std::uint64_t serverIncarnation = 0; // Incarnation: Unix milliseconds of the server's start; 0 if not reported.
    double perSecond = 0;
    bool isNamed = false; // False once the server states no limit any more.
    std::uint64_t ageMs = 0; // Time since a gateway received the statement.
    std::uint64_t issuingForMs = 0; // Time for which the sender has issued permits of the server; 0 if it does not.
};
// Gateway to rank agent, as a datagram: reports a server's limit and may ask for a permit to send it a request.
struct permit_request {
    server_limit limit;
    bool requestsPermit = false;
    std::uint64_t serial = 0; // The reply repeats it.
};
// Rank agent to gateway, as a datagram: sent immediately, and again when the permit is due.
struct permit_reply {
    server_limit limit; // The newest known limit of the server.
    std::uint64_t serial = 0;
    bool isGranted = false;
    std::uint64_t expectedInMs = 0; // If not granted: expected time until it is.
    std::uint32_t waitingGateways = 0; // Number of gateways waiting for permits of the server.
};

// Rank agent to the subscribed gateways, as a datagram: the load of its engine and the state of its group.
struct load_update {
    std::string engine; // Address at which the engine accepts requests.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    double pace = 1;
    std::string group; // Empty for an engine outside any group.
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    bool isOpen = true;
    std::uint32_t ranks = 0; // Number of ranks of the group.
    std::uint32_t subscribers = 0; // Number of gateways subscribed to this agent.
    std::string newerDeploymentAt; // Address of a gateway with a newer deployment than the receiver's; empty if none.
    std::uint64_t engineIncarnation = 0; // Start of the engine in Unix milliseconds; 0 if not reported.
    // The newest confirmations that any gateway has reported to this agent.
    store_confirmation configuration;
    store_confirmation servers;
    std::uint32_t duty = 0; // The `store_duty` of the receiving gateway.
    std::uint64_t crashes = 0; // Digest of this agent's records of requests that were in flight when a server crashed.
    std::vector<server_limit> limits; // Limits of the servers for which this agent issues permits.
};

// A suspect that was at a backend server when that crashed; see `quarantine/crash_history.h`.
struct crash_entry {
    std::string suspect; // Fingerprint of a request, or a part of its prompt; see `quarantine/crash_suspect.h`.
    std::string server; // Registered name and incarnation of the server.
    std::uint64_t ageMs = 0;
    bool isCleared = false;
};
// Between gateways and rank agents, as a datagram: crashes known to the sender, possibly split over several datagrams.
struct crash_report {
    std::vector<crash_entry> entries;
    bool wantsAll = false; // Asks the receiver to report all crashes that it knows in return.
};

// Gateway to rank agent: asks whether a process listens at this address of a backend server.
struct port_inquiry {
    std::string address;
};
// Answers `port_inquiry`.
struct port_finding {
    bool isKnown = false; // False if the agent cannot determine it; the other fields are meaningless then.
    bool isRefused = false;
};

// An error in place of a reply; see `base/error.h`.
struct problem {
    std::uint32_t kind = 0;
    std::string message;
    std::string remedy;
};

using body = std::variant<dispatch, head, bytes, end, refused, failed, other_incarnation, revoke, revoke_reply, join,
    cancel, claim, claim_reply, close, load, announce, acknowledge, config_request, config_reply, config_notice,
    problem, drain, deployment_request, deployment_reply, rank_query, rank_state, rank_prepare, rank_arm,
    load_subscribe, load_update, rank_release, rank_disarm, relayed_order, relayed_answers, crash_report, port_inquiry,
    port_finding, deployment_inquiry, deployment_knowledge, permit_request, permit_reply>;

// A message: the sender's identity and configuration version, and the body.
struct message {
    vm_id sender;
    incarnation senderIncarnation;
    config_version version; // Version of the configuration that the sender has in force.
    body content;
};

} // namespace coltsfootbend::wire
