#pragma once

// Shares what a backend server takes of requests a second among the gateways: each request to it needs a permit, and
// one process knows of all of them. Permits are issued evenly and never saved up, so that no number of idle or
// restarted gateways adds to the rate. Deterministic; not for talking to gateways: see `permits/permit_desk.h`.
//
//     issuer.hear(server, { .life = 7, .perSecond = 1.5, .isNamed = true, .at = heardAt }, now);
//     issuer.wish(server, gateway, serial, now);
//     for (const auto& permit : issuer.issue(now)) ...

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootbend {

// A backend server by its registered name, and a gateway by its address.
using permit_subject = text_id<struct permit_subject_tag>;
using permit_asker = text_id<struct permit_asker_tag>;

// What a server said of the requests that it takes.
struct limit_statement {
    std::uint64_t life = 0; // Of the server; 0 where it was not told.
    double perSecond = 0;
    bool isNamed = false; // False: it names no limit any more.
    time_point at {}; // When a gateway heard it.

    // A later life goes before any statement of a former one; of one life the last word counts.
    bool isOverruledBy(const limit_statement& other) const
    {
        const bool isSameLife = life == other.life || life == 0 || other.life == 0;
        return isSameLife ? other.at >= at : other.life > life;
    }
};

class permit_issuer {
public:
    struct options {
        // A server that takes less, or nothing, is asked this often all the same: nobody else would learn when it takes
        // more.
        double leastPerSecond = 0.2;
        // A gateway that still wants its permit says so sooner.
        duration wishLimit = std::chrono::milliseconds(1200);
        // Permits that came due while nobody looked are made up for as far back as this.
        duration catchUpLimit = std::chrono::milliseconds(50);
        // What a server said that nobody has spoken of for so long is forgotten.
        duration memory = std::chrono::minutes(10);
        // Set where many processes issue a part of the rate each, since there is none that knows of all: a permit then
        // comes at a drawn time after the wish, for of those that were idle each would issue one at the same moment.
        std::optional<std::uint32_t> drawSeed;
        // For so long others are told that a server names no limit any more.
        duration endToldFor = std::chrono::seconds(5);
    };

    struct permit {
        permit_subject subject;
        permit_asker asker;
        std::uint64_t serial = 0;
    };
    // What a gateway that waits can expect.
    struct outlook {
        time_point expectedAt {}; // Of the permit for this gateway.
        std::uint32_t askers = 0; // That wait now, this one included.
    };

    permit_issuer()
        : permit_issuer(options {})
    {
    }
    explicit permit_issuer(const options& options)
        : m_options(options)
        , m_random(options.drawSeed.value_or(0))
    {
    }

    // Returns false for a statement that was overruled by one heard before.
    bool hear(const permit_subject&, const limit_statement&, time_point now);
    // None when nobody spoke of it.
    std::optional<limit_statement> statement(const permit_subject&) const;
    // All that is to be told to others: limits, and that they have ended lately. O(subjects).
    std::map<permit_subject, limit_statement> statements(time_point now) const;

    // The gateway wants to send one request; a repeated wish replaces the one before. Without effect unless the server
    // names a limit.
    void wish(const permit_subject&, const permit_asker&, std::uint64_t serial, time_point now);
    // The permits that are due; whoever got none for longest goes first. O(subjects + wishes).
    std::vector<permit> issue(time_point now);
    // When the next permit is due; none when nobody waits.
    std::optional<time_point> nextAt() const;
    outlook outlookFor(const permit_subject&, const permit_asker&, time_point now) const;

    void expire(time_point now);

private:
    struct wish_state {
        std::uint64_t serial = 0;
        time_point until {};
    };
    struct subject_state {
        limit_statement statement;
        time_point spokenOfAt {};
        time_point lastPermitAt {}; // Or when this process began to issue.
        std::map<permit_asker, wish_state> wishes;
        std::map<permit_asker, time_point> servedAt; // The last permit of each.
    };

    duration interval(const limit_statement&) const;
    time_point dueAt(const subject_state& state) const { return state.lastPermitAt + interval(state.statement); }
    // Whether `a` goes before `b`, both of which wait.
    static bool goesBefore(const subject_state&, const permit_asker& a, const permit_asker& b);

    const options m_options;
    std::minstd_rand m_random;
    std::map<permit_subject, subject_state> m_subjects;
};

} // namespace coltsfootbend
