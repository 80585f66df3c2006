#pragma once

// What backend servers have asked for in their answers and still hold to, and with it whether a server may get one more
// request now. Each statement belongs to one life of a server, and to all gateways: what one hears the others learn by
// way of the agents, and a server that names a limit gets only what a permit was issued for
// (`permits/permit_issuer.h`). Deterministic. Not for what this process thinks of a server by itself: see
// `gateway/backend_picker.h`.
//
//     const auto news = notices.hearAnswer(server, facts.notice, sentAt, now);
//     if (notices.mayTake(server, now)) ...
//     if (const auto serial = notices.wish(server, now)) // ask for a permit
//     if (notices.take(server, now)) // send the request

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notice.h"
#include "coltsfootbend/permits/permit_issuer.h"

#include <map>
#include <optional>
#include <string>

namespace coltsfootbend {

class backend_notices {
public:
    struct options {
        // A permit that is not used is lost after this, for it stands for a moment, not for a request.
        duration permitLimit = std::chrono::milliseconds(500);
        // An unanswered wish is repeated.
        duration wishLimit = std::chrono::milliseconds(1000);
        // What a server said that was not heard of for so long is forgotten.
        duration memory = std::chrono::minutes(10);
    };

    backend_notices()
        : backend_notices(options {})
    {
    }
    explicit backend_notices(const options& options)
        : m_options(options)
    {
    }

    // Takes what the answer to a request that was sent at `sentAt` asked for. Returns what has changed, for the log;
    // empty when nothing has.
    std::string hearAnswer(const backend_instance&, const backend_notice&, time_point sentAt, time_point now);
    // Takes what others have heard of a server. Returns what has changed, as above.
    std::string hearOthers(const backend_id&, const limit_statement&, time_point now);

    // What the server said last of its limit; none when it never spoke of one.
    std::optional<limit_statement> limitOf(const backend_instance&) const;
    bool isLimited(const backend_instance&) const;

    // The server has said that it leaves.
    bool isLeaving(const backend_instance&) const;
    // Until when the server wants nothing from this gateway, which is for ever if it leaves; none when it takes
    // requests, if perhaps only with a permit.
    std::optional<time_point> closedUntil(const backend_instance&, time_point now) const;
    bool isClosed(const backend_instance& server, time_point now) const { return closedUntil(server, now).has_value(); }

    // Whether the server may get one more request now.
    bool mayTake(const backend_instance&, time_point now) const;
    // Uses that up, if it is so.
    bool take(const backend_instance&, time_point now);

    // Wants one request for a limited server. Returns the number of a wish that is to be sent now; none when there is a
    // permit, or a wish is out.
    std::optional<std::uint64_t> wish(const backend_instance&, time_point now);
    // The wish will be granted about then; `askers` gateways wait for the same server.
    void expectPermit(const backend_id&, std::uint64_t serial, time_point expectedAt, std::uint32_t askers);
    // Without effect for a wish that was given up: a permit may come late.
    void grant(const backend_id&, std::uint64_t serial, time_point now);
    // When this gateway may send to a limited server next, as far as it knows; `now` when it knows nothing.
    time_point expectedAt(const backend_instance&, time_point now) const;
    // This gateway's part of what a limited server takes, in requests a second.
    double shareOf(const backend_instance&) const;

    void expire(time_point now);

private:
    struct server_state {
        backend_life life;
        limit_statement limit; // Of any life that may be this one.
        time_point restUntil {};
        bool isLeaving = false; // Never taken back by the same life.
        time_point heardAt {};
        std::uint64_t wishSerial = 0;
        time_point wishUntil {}; // While a wish is out.
        time_point permitUntil {}; // While a permit is held.
        time_point permitExpectedAt {};
        std::uint32_t askers = 1;
    };

    // Null for a former life. A life that was not told yet becomes the one that is.
    server_state* enterLife(const backend_id&, backend_life);
    const server_state* find(const backend_instance&) const;
    static std::string takeLimit(server_state&, const limit_statement&);
    static std::string takeRest(server_state&, duration length, time_point now);
    std::string takeLimitOf(server_state&, const backend_notice&, time_point sentAt, time_point now) const;

    const options m_options;
    std::map<backend_id, server_state> m_servers;
    std::uint64_t m_lastSerial = 0;
};

} // namespace coltsfootbend
