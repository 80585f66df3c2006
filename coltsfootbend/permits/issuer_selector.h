#pragma once

// Chooses the process that issues the permits of a backend server. All processes that reach the same candidates choose
// alike by their ranking. Processes that reach different ones, because their lists differ or a link is cut, agree
// through the reports of the candidates: the one that began to issue last is used, because a process uses it only if it
// does not reach the others. Deterministic; does not communicate: see `gateway/agent_directory.h`.
//
//     selector.recordIssuing(server, agent, issuingFor, now); // The agent has reported it.
//     const auto issuer = selector.choose(server, reachableAgentsBestFirst, now);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/permits/permit_issuer.h"

#include <map>
#include <optional>
#include <vector>

namespace coltsfootbend {

// Keeps which processes issue permits of each server at present, and chooses one of them.
class issuer_selector {
public:
    struct options {
        // Time after its last report for which a process counts as issuing. Reports are sent ten times a second.
        duration reportTimeout = std::chrono::milliseconds(1500);
        // Processes whose begin differs by less count as having begun together. Well above the delay of a report.
        duration sameBeginTolerance = std::chrono::milliseconds(300);
    };

    issuer_selector()
        : issuer_selector(options {})
    {
    }
    explicit issuer_selector(const options& options)
        : m_options(options)
    {
    }

    // Records a report of `issuer` that it has issued permits of the server for the time `issuingFor`.
    void recordIssuing(const permit_subject&, const endpoint& issuer, duration issuingFor, time_point now);
    // Returns the issuer to use: of the candidates that issue permits at present the one that began last, or the first
    // candidate if none does. Returns none if there are no candidates. `ranked`: the reachable candidates, best first.
    std::optional<endpoint> choose(const permit_subject&, const std::vector<endpoint>& ranked, time_point now) const;
    // Drops the processes that no longer issue.
    void expire(time_point now);

private:
    struct issuing_process {
        time_point since {};
        time_point lastReportedAt {};
    };

    bool isIssuing(const issuing_process& process, time_point now) const
    {
        return now < process.lastReportedAt + m_options.reportTimeout;
    }

    const options m_options;
    std::map<permit_subject, std::map<endpoint, issuing_process>> m_issuing;
};

} // namespace coltsfootbend
