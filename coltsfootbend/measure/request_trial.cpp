#include "coltsfootbend/measure/request_trial.h"

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/measure/request_world.h"
#include "coltsfootbend/request/request_flow.h"
#include "coltsfootbend/request/ticket.h"

#include <algorithm>

namespace coltsfootbend {

using namespace std::chrono_literals;

const char* toString(fault_kind kind)
{
    constexpr const char* names[] = { "message_lost", "message_late", "entry_dies", "worker_dies", "worker_paused",
        "worker_leaves", "engine_fails", "data_centre_cut", "store_down", "caller_gone" };
    return names[static_cast<std::size_t>(kind)];
}

const char* toString(claim_location claimLocation)
{
    constexpr const char* names[] = { "home", "table", "ticket", "none" };
    return names[static_cast<std::size_t>(claimLocation)];
}

void request_trial_report::add(const request_trial_report& other)
{
    tried += other.tried;
    answered += other.answered;
    notRun += other.notRun;
    unknown += other.unknown;
    callerAttempts += other.callerAttempts;
    refusedAttempts += other.refusedAttempts;
    doubled += other.doubled;
    mispaired += other.mispaired;
    falseNotRun += other.falseNotRun;
    tableWrites += other.tableWrites;
    answerTime += other.answerTime;
    drains += other.drains;
    drainCut += other.drainCut;
    drainLateWork = std::max(drainLateWork, other.drainLateWork);
}

namespace {

constexpr int maxCallerAttempts = 5;
constexpr auto requestSpacing = 4ms;
constexpr auto faultSpacing = 1500ms;

// One caller's request, with its progress as the caller and the engines observe it.
struct trial_request {
    std::size_t index = 0;
    bool keyed = false;
    bool counted = false;
    bool usesTicket = false;
    int attempts = 0;
    int current = 0; // The attempt whose answer the caller awaits.
    int runs = 0;
    bool settled = false;
    bool reportedNotRun = false;
    time_point firstAt {};
    std::optional<request_key> ticket;

    std::string answer() const { return "answer-" + std::to_string(index) + "-abcdefghijklmnopqrstuvwxyz"; }
};

class request_trial final : private request_world {
public:
    explicit request_trial(const request_trial_options& options)
        : request_world(options)
        , m_tableLedger({ .keyLifetime = 24h, .maxKeys = 1'000'000, .completeFrom = {} })
    {
    }

    request_trial_report run()
    {
        for (std::size_t i = 0; i < m_options.requests; ++i) {
            m_requests.push_back(std::make_unique<trial_request>());
            auto& request = *m_requests.back();
            request.index = i;
            request.keyed = chance(m_options.keyedShare);
            request.counted = request.keyed && chance(m_options.countedShare);
            request.usesTicket = request.keyed
                && (m_options.claimLocation == claim_location::Ticket
                    || (m_options.claimLocation == claim_location::Home && chance(m_options.ticketShare)));
            m_time.after(requestSpacing * i, [this, &request] { callerSends(request); });
        }
        const auto end = m_time.now() + requestSpacing * m_options.requests;
        for (auto at = m_time.now() + 50ms; at < end; at += faultSpacing) {
            for (const auto kind : m_options.faults)
                m_time.at(at + milliseconds(0, 700), [this, kind] { inject(kind); });
        }
        scheduleTicks(end + 30s);
        m_time.runUntil(end + 60s);
        return report();
    }

private:
    void workerChanged(trial_worker& worker) override { perform(worker); }

    struct exchange;
    using exchange_ptr = std::shared_ptr<exchange>;

    // Entry VM: drives one request_flow.
    struct exchange : public worker_chooser {
        exchange(request_trial& owner, trial_request& forRequest, std::shared_ptr<trial_entry> at, int callerAttempt)
            : trial(owner)
            , request(forRequest)
            , entry(std::move(at))
            , attempt(callerAttempt)
        {
        }
        std::optional<run_place> choose(time_point now, const std::vector<vm_id>& tried) override
        {
            return entry->routes->choose(now, { .prefixes = {}, .serviceTime = 8ms }, tried);
        }
        request_trial& trial;
        trial_request& request;
        std::shared_ptr<trial_entry> entry;
        const int attempt;
        std::unique_ptr<request_flow> flow;
        std::string forwarded;
        time_point timerSetFor {};
    };

    bool isAlive(const exchange_ptr& exchange) const
    {
        return std::find(m_entries.begin(), m_entries.end(), exchange->entry) != m_entries.end();
    }

    void callerSends(trial_request& request)
    {
        const auto number = ++request.attempts;
        request.current = number;
        if (number == 1)
            request.firstAt = m_time.now();
        ++m_report.callerAttempts;
        const auto entry = m_entries[randomIndex(m_entries.size())];
        if (request.usesTicket && !request.ticket)
            request.ticket = newTicket(entry->dataCentre);
        auto started = std::make_shared<exchange>(*this, request, entry, number);
        flow_request flow { .customer = customer_id("c"),
            .key = std::nullopt,
            .attemptNumber = request.counted ? static_cast<std::uint32_t>(number) : 0,
            .bodyHash = request.index + 1,
            .idempotent = m_options.claimLocation == claim_location::None,
            .deadline = m_time.now() + requestTimeout };
        if (request.keyed && m_options.claimLocation != claim_location::None)
            flow.key = request.ticket.value_or(request_key("k" + std::to_string(request.index)));
        auto home = m_holders[rendezvousIndex("c/k" + std::to_string(request.index), m_holders)];
        if (request.ticket) {
            const auto named = *parseTicket(*request.ticket);
            flow.ticketIncarnation = named.workerIncarnation;
            home = named.worker;
        }
        started->flow = std::make_unique<request_flow>(
            flow, request_flow::services { *started, *entry->retries, *entry }, home, request_flow::limits {});
        m_time.after(milliseconds(1, 3), [this, started] { feed(started, { 0, caller_started {} }); });
        m_time.after(requestTimeout + 200ms, [this, started] { callerGivesUp(started); });
        if (hasFault(fault_kind::CallerGone) && chance(0.05)) {
            m_time.after(milliseconds(1, 30), [this, started] {
                feed(started, { 0, caller_gone {} });
                callerGivesUp(started);
            });
        }
    }

    request_key newTicket(int dataCentre)
    {
        const auto& holder = *m_workers[static_cast<std::size_t>(dataCentre * workersPerDataCentre)
            + randomIndex(workersPerDataCentre)];
        return makeTicket({ holder.id, incarnation(holder.incarnationId) }, m_random());
    }

    void feed(const exchange_ptr& exchange, const flow_event& event)
    {
        if (!isAlive(exchange) || exchange->flow->isDone())
            return;
        for (const auto& action : exchange->flow->handle(m_time.now(), event))
            std::visit([&](const auto& work) { perform(exchange, work); }, action);
        const auto deadline = exchange->flow->nextDeadline();
        if (exchange->flow->isDone() || deadline == exchange->timerSetFor)
            return;
        exchange->timerSetFor = deadline;
        m_time.at(deadline, [this, exchange] {
            exchange->timerSetFor = {};
            feed(exchange, { 0, timer_fired {} });
        });
    }

    void lose(const exchange_ptr& exchange, std::uint64_t operation, bool nothingSent)
    {
        m_time.after(milliseconds(1, 200), [this, exchange, operation, nothingSent] {
            feed(exchange, { operation, operation_lost { nothingSent } });
        });
    }

    // Sends a query to a worker daemon; `answer` creates the event that is returned.
    template <typename Answer>
    void ask(const exchange_ptr& exchange, std::uint64_t operation, const vm_id& to, Answer answer)
    {
        auto& worker = workerOf(to);
        const int from = exchange->entry->dataCentre;
        const bool sent = sendMessage(from, worker, [this, exchange, operation, answer, &worker, from] {
            auto event = answer(worker);
            const bool lost = isCut(worker.dataCentre, from) || (hasFault(fault_kind::MessageLost) && chance(0.02));
            if (lost)
                lose(exchange, operation, false);
            else
                m_time.after(drawDelay(), [this, exchange, operation, event] { feed(exchange, { operation, event }); });
        });
        if (!sent)
            lose(exchange, operation, isCut(from, worker.dataCentre) && chance(0.5));
    }

    void perform(const exchange_ptr& exchange, const send_claim& action)
    {
        if (m_options.claimLocation == claim_location::Table) {
            claimInTable(exchange, action);
            return;
        }
        ask(exchange, action.operation, action.home,
            [this, action](trial_worker& worker) -> decltype(flow_event::payload) {
                return claim_answered { worker.executor->claim(m_time.now(), action.request) };
            });
    }

    void claimInTable(const exchange_ptr& exchange, const send_claim& action)
    {
        ++m_report.tableWrites;
        if (m_platform.faults().down || exchange->entry->dataCentre == m_cutOff) {
            lose(exchange, action.operation, true);
            return;
        }
        m_time.after(milliseconds(4, 8), [this, exchange, action] {
            const auto reply = m_tableLedger.claim(m_time.now(), action.request);
            feed(exchange, { action.operation, claim_answered { reply } });
        });
    }

    void perform(const exchange_ptr& exchange, const send_close& action)
    {
        if (m_options.claimLocation == claim_location::Table) {
            if (action.releases)
                m_tableLedger.release(action.key, *action.releases);
            const auto reply = m_tableLedger.close(m_time.now(), action.key, action.attemptNumber);
            m_time.after(6ms, [this, exchange, action, reply] {
                feed(exchange, { action.operation, close_answered { reply } });
            });
            return;
        }
        ask(exchange, action.operation, action.home,
            [this, action](trial_worker& worker) -> decltype(flow_event::payload) {
                return close_answered { worker.executor->close(
                    m_time.now(), action.key, action.attemptNumber, action.ticketIncarnation, action.releases) };
            });
    }

    void perform(const exchange_ptr& exchange, const send_revoke& action)
    {
        ask(exchange, action.operation, action.place.worker,
            [this, action](trial_worker& worker) -> decltype(flow_event::payload) {
                const auto verdict
                    = worker.executor->revoke(m_time.now(), action.attempt, action.place.workerIncarnation);
                perform(worker);
                if (!verdict)
                    return other_incarnation_answered {};
                return revoke_answered { *verdict };
            });
    }

    void perform(const exchange_ptr& exchange, const send_dispatch& action)
    {
        auto& worker = workerOf(action.place.worker);
        // Also counts attempts that are sent to an incarnation that has ended since.
        if (const auto left = m_leftAt.find(action.place.workerIncarnation); left != m_leftAt.end())
            m_report.drainLateWork = std::max(m_report.drainLateWork, m_time.now() - left->second);
        const auto deadline = m_time.now() + requestTimeout;
        const bool sent = sendMessage(exchange->entry->dataCentre, worker, [this, exchange, action, &worker, deadline] {
            const admission_job job { .attempt = action.attempt,
                .customer = customer_id("c"),
                .deadline = deadline,
                .expectedService = 8ms,
                .preemptible = true };
            if (action.place.workerIncarnation == worker.executor->ownIncarnation())
                worker.requests[action.attempt] = exchange->request.index;
            const auto refused = worker.executor->dispatch(m_time.now(), job, action.place.workerIncarnation);
            if (refused) {
                (void)sendPiece(exchange, action.operation, worker, *refused);
                return;
            }
            follow(exchange, action.operation, worker, action.attempt, 0);
            perform(worker);
        });
        if (!sent)
            lose(exchange, action.operation, isCut(exchange->entry->dataCentre, worker.dataCentre) && chance(0.5));
    }

    void perform(const exchange_ptr& exchange, const send_join& action)
    {
        auto& worker = workerOf(action.place.worker);
        const bool sent = sendMessage(exchange->entry->dataCentre, worker, [this, exchange, action, &worker] {
            if (action.place.workerIncarnation != worker.executor->ownIncarnation())
                m_time.after(drawDelay(), [this, exchange, action] {
                    feed(exchange, { action.operation, other_incarnation_answered {} });
                });
            else
                follow(exchange, action.operation, worker, action.attempt, action.offset);
        });
        if (!sent)
            lose(exchange, action.operation, false);
    }

    void perform(const exchange_ptr&, const send_cancel&) { } // Left to the engine.
    void perform(const exchange_ptr&, const forward_head&) { }
    void perform(const exchange_ptr& exchange, const forward_bytes& action) { exchange->forwarded += action.bytes; }
    void perform(const exchange_ptr& exchange, const finish_request& action)
    {
        if (action.reason == refusal::CallerGone)
            return;
        const bool arrives = isAlive(exchange);
        if (arrives)
            m_time.after(milliseconds(1, 3), [this, exchange, action] { onCallerAnswered(exchange, action); });
    }

    // Worker daemon.
    void follow(const exchange_ptr& exchange, std::uint64_t operation, trial_worker& worker, const attempt_id& attempt,
        std::uint64_t offset)
    {
        const auto sender = [this, exchange, operation, &worker](
                                const answer_piece& piece) { return sendPiece(exchange, operation, worker, piece); };
        worker.followers.emplace(
            attempt, std::pair { sender, answer_position { .headSent = false, .offset = offset } });
        sendPieces(worker, attempt);
    }

    // Sends one piece of an answer. Returns false if the stream broke.
    bool sendPiece(
        const exchange_ptr& exchange, std::uint64_t operation, trial_worker& worker, const answer_piece& piece)
    {
        const int to = exchange->entry->dataCentre;
        if (isCut(worker.dataCentre, to) || (hasFault(fault_kind::MessageLost) && chance(0.01))) {
            lose(exchange, operation, false);
            return false;
        }
        struct visitor {
            std::optional<decltype(flow_event::payload)> operator()(const nothing_yet&) const { return std::nullopt; }
            std::optional<decltype(flow_event::payload)> operator()(const head_piece& piece) const
            {
                return answer_head { piece.status, piece.contentType };
            }
            std::optional<decltype(flow_event::payload)> operator()(const bytes_piece& piece) const
            {
                return answer_bytes { piece.offset, piece.bytes };
            }
            std::optional<decltype(flow_event::payload)> operator()(const end_piece& piece) const
            {
                return answer_end { piece.totalBytes };
            }
            std::optional<decltype(flow_event::payload)> operator()(const refused_piece& piece) const
            {
                return attempt_refused { piece.reason, piece.retryAfter };
            }
            std::optional<decltype(flow_event::payload)> operator()(const failed_piece&) const
            {
                return attempt_failed {};
            }
        };
        // Late pieces may overtake each other, unlike with TCP. The flow must handle that too.
        if (const auto event = std::visit(visitor {}, piece))
            m_time.after(drawDelay(), [this, exchange, operation, event = *event] {
                feed(exchange, { operation, event });
            });
        return true;
    }

    void sendPieces(trial_worker& worker, const attempt_id& attempt)
    {
        auto [position, end] = worker.followers.equal_range(attempt);
        while (position != end) {
            bool isOver = false;
            while (!isOver) {
                const auto piece = worker.executor->nextPiece(attempt, position->second.second);
                if (std::holds_alternative<nothing_yet>(piece))
                    break;
                const bool goesOn
                    = std::holds_alternative<head_piece>(piece) || std::holds_alternative<bytes_piece>(piece);
                isOver = !position->second.first(piece) || !goesOn;
            }
            position = isOver ? worker.followers.erase(position) : std::next(position);
        }
    }

    void perform(trial_worker& worker)
    {
        for (const auto& action : worker.executor->takeActions()) {
            if (const auto* start = std::get_if<start_on_backend>(&action))
                runOnEngine(worker, start->attempt);
            else if (const auto* changed = std::get_if<answer_changed>(&action))
                sendPieces(worker, changed->attempt);
        }
    }

    void runOnEngine(trial_worker& worker, const attempt_id& attempt)
    {
        auto& request = *m_requests[worker.requests.at(attempt)];
        const bool unreachable = hasFault(fault_kind::EngineFails) && chance(0.03);
        if (!unreachable)
            ++request.runs;
        const bool breaks = hasFault(fault_kind::EngineFails) && chance(0.03);
        const auto incarnationId = worker.incarnationId;
        const auto later = [this, &worker, incarnationId](duration delay, std::function<void(attempt_executor&)> work) {
            deliverAt(worker, m_time.now() + delay, [this, &worker, incarnationId, work = std::move(work)] {
                if (worker.incarnationId != incarnationId)
                    return;
                work(*worker.executor);
                perform(worker);
            });
        };
        if (unreachable) {
            later(1ms,
                [this, attempt](attempt_executor& executor) { executor.backendUnreachable(m_time.now(), attempt); });
            return;
        }
        const auto whole = request.answer();
        later(2ms, [attempt](attempt_executor& executor) { executor.backendHead(attempt, 200, "text/plain"); });
        later(
            4ms, [attempt, whole](attempt_executor& executor) { executor.backendBytes(attempt, whole.substr(0, 10)); });
        if (breaks) {
            later(6ms, [this, attempt](attempt_executor& executor) { executor.backendFailed(m_time.now(), attempt); });
            return;
        }
        later(6ms, [attempt, whole](attempt_executor& executor) { executor.backendBytes(attempt, whole.substr(10)); });
        later(8ms, [this, attempt](attempt_executor& executor) { executor.backendEnd(m_time.now(), attempt); });
    }

    void scheduleTicks(time_point end)
    {
        for (auto& worker : m_workers) {
            if (m_time.now() >= worker->pausedUntil) {
                worker->executor->tick(m_time.now());
                perform(*worker);
            }
        }
        if (m_time.now() < end)
            m_time.after(25ms, [this, end] { scheduleTicks(end); });
    }

    // Caller.
    void onCallerAnswered(const exchange_ptr& exchange, const finish_request& finished)
    {
        auto& request = exchange->request;
        if (request.settled || request.current != exchange->attempt)
            return;
        if (finished.result == outcome::Answer) {
            request.settled = true;
            ++m_report.answered;
            m_report.answerTime += m_time.now() - request.firstAt;
            if (exchange->forwarded != request.answer())
                ++m_report.mispaired;
            return;
        }
        ++m_report.refusedAttempts;
        if (finished.result == outcome::NotRun) {
            if (request.runs > 0)
                ++m_report.falseNotRun;
            request.reportedNotRun
                = chance(0.5) || request.attempts >= maxCallerAttempts || finished.reason == refusal::KeyClosed;
            if (request.reportedNotRun) {
                request.settled = true;
                ++m_report.notRun;
                return;
            }
        }
        retryOrSettle(request, finished.result == outcome::NotRun, finished.reason != refusal::HomeCannotRuleOut,
            finished.retryAfter);
    }

    void callerGivesUp(const exchange_ptr& exchange)
    {
        auto& request = exchange->request;
        if (request.settled || request.current != exchange->attempt)
            return;
        ++m_report.refusedAttempts;
        retryOrSettle(request, false, true, {});
    }

    // Retries a request or settles it. Without a key, a caller retries only a request that was not run. With a key, it
    // retries within the key's lifetime unless the answer forbids that.
    void retryOrSettle(trial_request& request, bool wasNotRun, bool keyHelps, duration wait)
    {
        request.current = -1;
        const bool inLifetime = m_time.now() + wait + requestTimeout < request.firstAt + keyLifetime;
        const bool mayRepeat
            = (request.keyed && keyHelps && inLifetime) || wasNotRun || m_options.claimLocation == claim_location::None;
        if (!mayRepeat || request.attempts >= maxCallerAttempts) {
            request.settled = true;
            ++m_report.unknown;
            return;
        }
        m_time.after(wait + milliseconds(1, 100), [this, &request] { callerSends(request); });
    }

    request_trial_report report()
    {
        m_report.tried = m_requests.size();
        m_report.drains = m_drains;
        m_report.drainCut = m_drainCut;
        for (const auto& request : m_requests) {
            m_report.doubled += request->runs > 1 ? 1 : 0;
            m_report.falseNotRun += request->reportedNotRun && request->runs > 0 ? 1 : 0;
        }
        return m_report;
    }

    claim_ledger m_tableLedger;
    std::vector<std::unique_ptr<trial_request>> m_requests;
    request_trial_report m_report;
};

} // namespace

request_trial_report runRequestTrial(const request_trial_options& options)
{
    return std::make_unique<request_trial>(options)->run();
}

} // namespace coltsfootbend
