#pragma once

// Divides the request rate that a backend server accepts among the gateways: each request to a limited server needs a
// permit, and one process issues all permits of a server. Permits are issued at even intervals and do not accumulate,
// so that idle or restarted gateways never raise the rate above the limit. Deterministic; does not communicate with
// gateways: see `permits/permit_service.h`.
//
//     issuer.receiveStatement(server, { .perSecond = 1.5, .isNamed = true, .at = receivedAt }, now);
//     issuer.requestPermit(server, gateway, serial, now);
//     for (const auto& permit : issuer.issue(now)) ...

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootbend {

// Identify a backend server by its registered name, and a gateway by its address.
using permit_subject = text_id<struct permit_subject_tag>;
using permit_requester = text_id<struct permit_requester_tag>;

// A backend server's statement of the request rate that it accepts.
struct limit_statement {
    std::uint64_t serverIncarnation = 0; // Incarnation of the server; 0 if unknown.
    double perSecond = 0; // Accepted requests per second.
    bool isNamed = false; // False if the server no longer states a limit.
    time_point at {}; // When a gateway received it.

    // Returns whether `other` replaces this statement: a later incarnation replaces an earlier one, and within an
    // incarnation the newer statement replaces the older one.
    bool isSupersededBy(const limit_statement& other) const
    {
        const bool isSameIncarnation
            = serverIncarnation == other.serverIncarnation || serverIncarnation == 0 || other.serverIncarnation == 0;
        return isSameIncarnation ? other.at >= at : other.serverIncarnation > serverIncarnation;
    }
};

// Issues the permits of all servers for which one process is responsible.
class permit_issuer {
public:
    struct options {
        // Minimum permits per second for a server that accepts fewer requests or none. Without these requests, no
        // gateway would receive a higher limit from the server.
        double minPerSecond = 0.2;
        // How long a permit request is valid. A gateway that still needs the permit repeats its request within this
        // time.
        duration requestTimeout = std::chrono::milliseconds(1200);
        // Permits that became due between two calls of `issue` are issued late by up to this time; older ones lapse.
        duration catchUpLimit = std::chrono::milliseconds(50);
        // How long a statement is stored after the last message about its server.
        duration statementRetention = std::chrono::minutes(10);
        // Seed of the random delay of a permit after an idle time. Set where many processes issue a share of the rate
        // each, since no process receives all requests: without the delay, all idle issuers would issue a permit at the
        // same moment. None means no delay.
        std::optional<std::uint32_t> delaySeed;
        // How long the end of a limit is reported to the other processes.
        duration endReportedFor = std::chrono::seconds(5);
        // This process counts as issuing permits of a server for this time after a request for one, or for two of the
        // server's intervals if that is longer.
        duration minIssuingTime = std::chrono::seconds(2);
    };

    // The permission for one request of a gateway to a server.
    struct permit {
        permit_subject subject;
        permit_requester requester;
        std::uint64_t serial = 0; // Number of the request, set by the gateway.
    };
    // Estimate of the wait of a gateway for its permit.
    struct wait_estimate {
        time_point expectedAt {}; // When this gateway's permit is expected to be issued.
        std::uint32_t waitingGateways = 0; // Number of waiting gateways, including this one.
    };

    permit_issuer()
        : permit_issuer(options {})
    {
    }
    explicit permit_issuer(const options& options)
        : m_options(options)
        , m_random(options.delaySeed.value_or(0))
    {
    }

    // Records a statement. Returns false if a statement received earlier replaces it.
    bool receiveStatement(const permit_subject&, const limit_statement&, time_point now);
    // Returns the statement of a server, or none if none was received.
    std::optional<limit_statement> statement(const permit_subject&) const;
    // Returns the statements to report to other processes: all limits, and the recent ends of limits. O(subjects).
    std::map<permit_subject, limit_statement> statements(time_point now) const;

    // Queues a gateway's request for one permit; a repeated one replaces the one before. Has no effect unless the
    // server states a limit.
    void requestPermit(const permit_subject&, const permit_requester&, std::uint64_t serial, time_point now);
    // Returns the permits that are due, first for the gateway whose last permit is the oldest. O(subjects + requests).
    std::vector<permit> issue(time_point now);
    // Returns when the next permit is due; none if no gateway waits.
    std::optional<time_point> nextAt() const;
    // Returns for how long gateways have used this process as the issuer of the server; none if they do not.
    std::optional<duration> issuingFor(const permit_subject&, time_point now) const;
    // Estimates when a gateway's permit will be issued.
    wait_estimate estimateWait(const permit_subject&, const permit_requester&, time_point now) const;

    // Removes the servers and gateways to which no message has referred within `statementRetention`.
    void expire(time_point now);

private:
    struct pending_request {
        std::uint64_t serial = 0;
        time_point until {};
    };
    struct subject_state {
        limit_statement statement;
        time_point lastReferencedAt {};
        time_point lastPermitAt {}; // Initially the time at which this process began to issue.
        time_point issuingSince {};
        time_point issuingUntil {};
        std::map<permit_requester, pending_request> requests;
        std::map<permit_requester, time_point> lastGrantedAt; // Time of each gateway's last permit.
    };

    duration interval(const limit_statement&) const;
    time_point dueAt(const subject_state& state) const { return state.lastPermitAt + interval(state.statement); }
    // Returns whether waiting gateway `a` is served before `b`.
    static bool isServedBefore(const subject_state&, const permit_requester& a, const permit_requester& b);

    const options m_options;
    std::minstd_rand m_random;
    std::map<permit_subject, subject_state> m_subjects;
};

} // namespace coltsfootbend
