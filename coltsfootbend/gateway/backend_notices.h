#pragma once

// The notices of backend servers that are in force: rate limits, backoffs and announced leaving, and with them whether
// a server may get another request now. Each notice belongs to one incarnation of a server. Limits hold for all
// gateways: they are distributed through the rank agents, and a server with a limit gets only requests for which a
// permit was issued (`permits/permit_issuer.h`). Deterministic. Doesn't estimate a server's health: see
// `gateway/backend_picker.h`.
//
//     const auto changes = notices.receiveAnswer(server, facts.notice, sentAt, now);
//     if (notices.canAcquire(server, now)) ...
//     if (const auto serial = notices.beginPermitRequest(server, now)) // send the permit request
//     if (notices.tryAcquire(server, now)) // send the request

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notice.h"
#include "coltsfootbend/permits/permit_issuer.h"

#include <map>
#include <optional>
#include <string>

namespace coltsfootbend {

// Keeps the notices of each server and the state of this gateway's permit requests.
class backend_notices {
public:
    struct options {
        // Validity of an unused permit. A permit allots a moment of the server's rate and can't be saved for a later
        // one.
        duration permitLifetime = std::chrono::milliseconds(500);
        // Time for which a permit is awaited, after which its request may be repeated. Longer than the issuer's
        // `requestTimeout` by the time that the messages take: a permit that is no longer awaited is lost to all.
        duration permitRequestTimeout = std::chrono::milliseconds(1400);
        // A limit that was last stated longer ago may have ended. Shorter than the interval of the permits for a server
        // that accepts nothing.
        duration limitConfirmedFor = std::chrono::milliseconds(2000);
        // Notices of a server are dropped if nothing about it was received for this long.
        duration retention = std::chrono::minutes(10);
    };

    backend_notices()
        : backend_notices(options {})
    {
    }
    explicit backend_notices(const options& options)
        : m_options(options)
    {
    }

    // Applies the notice in the answer to a request that was sent at `sentAt`. Returns the changes as text for the log;
    // empty if nothing has changed.
    std::string receiveAnswer(const backend_instance&, const backend_notice&, time_point sentAt, time_point now);
    // Applies a limit that other gateways have received. Returns the changes, as above.
    std::string receiveStatement(const backend_id&, const limit_statement&, time_point now);

    // Returns the latest statement about the server's limit; none if there has been no statement.
    std::optional<limit_statement> limitOf(const backend_instance&) const;
    // Returns whether the server names a limit, so that requests to it need permits.
    bool isLimited(const backend_instance&) const;

    // Returns whether the server's limit was stated so long ago that it may have ended, which only the answer to
    // another request shows.
    bool mustConfirmLimit(const backend_instance&, time_point now) const;

    // Returns whether the server has announced that it leaves.
    bool isLeaving(const backend_instance&) const;
    // Returns until when the server accepts no requests from this gateway, which is forever if it leaves; none if it
    // accepts requests, possibly only with a permit.
    std::optional<time_point> unavailableUntil(const backend_instance&, time_point now) const;
    bool isUnavailable(const backend_instance& server, time_point now) const
    {
        return unavailableUntil(server, now).has_value();
    }

    // Returns whether the server may get one more request now.
    bool canAcquire(const backend_instance&, time_point now) const;
    // Returns the same, and uses up the permit if the server has a limit.
    bool tryAcquire(const backend_instance&, time_point now);

    // Begins a permit request for one request to a limited server. Returns the serial number with which to send it;
    // none if no permit is needed, a permit is held or a permit request is pending, or if the server is unavailable.
    std::optional<std::uint64_t> beginPermitRequest(const backend_instance&, time_point now);
    // Records when the permit is expected and that `requesters` gateways wait for permits of the same server.
    void expectPermit(const backend_id&, std::uint64_t serial, time_point expectedAt, std::uint32_t requesters);
    // Records a granted permit. Without effect if the permit request has been repeated or has expired: permits may
    // arrive late.
    void grant(const backend_id&, std::uint64_t serial, time_point now);
    // Returns the expected time of this gateway's next permit for a limited server; `now` if unknown.
    time_point expectedAt(const backend_instance&, time_point now) const;
    // Returns this gateway's share of the rate of a limited server, in requests per second.
    double shareOf(const backend_instance&) const;

    // Drops the notices of servers about which nothing was received for a long time.
    void expire(time_point now);

private:
    struct server_state {
        backend_incarnation incarnation;
        limit_statement limit; // Of this incarnation, or of one that may be this one because it was not reported.
        time_point backoffUntil {};
        bool isLeaving = false; // Never withdrawn by the same incarnation.
        time_point lastReceivedAt {};
        std::uint64_t requestSerial = 0;
        time_point requestPendingUntil {}; // End of the wait for a pending permit request.
        time_point permitUntil {}; // End of the validity of a held permit.
        time_point permitExpectedAt {};
        std::uint32_t requesters = 1;
    };

    // Returns the state for an incarnation and drops that of an earlier one; null if a later incarnation is known.
    // State of an incarnation that was not reported is taken over by the first one that is.
    server_state* enterIncarnation(const backend_id&, backend_incarnation);
    const server_state* find(const backend_instance&) const;
    static std::string applyLimit(server_state&, const limit_statement&);
    static std::string applyBackoff(server_state&, duration length, time_point now);
    std::string applyNoticeLimit(server_state&, const backend_notice&, time_point sentAt, time_point now) const;

    const options m_options;
    std::map<backend_id, server_state> m_servers;
    std::uint64_t m_lastSerial = 0;
};

} // namespace coltsfootbend
