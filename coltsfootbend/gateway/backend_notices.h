#pragma once

// What backend servers have asked for in their answers and still hold to: each statement belongs to one life of a
// server. Deterministic. Not for what this process thinks of a server by itself: see `gateway/backend_picker.h`.
//
//     const auto news = notices.hearAnswer(server.instance(), facts.notice, sentAt, now);

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notice.h"

#include <map>
#include <optional>
#include <string>

namespace coltsfootbend {

class backend_notices {
public:
    // Takes what the answer to a request that was sent at `sentAt` asked for. Returns what has changed, for the log;
    // empty when nothing has.
    std::string hearAnswer(const backend_instance&, const backend_notice&, time_point sentAt, time_point now);

private:
    struct server_state {
        backend_life life;
        std::optional<double> requestsPerSecond;
        time_point namedAt {}; // When the limit was heard last.
    };

    // Null for a former life. A life that was not told yet becomes the one that is.
    server_state* enterLife(const backend_instance&);

    std::map<backend_id, server_state> m_servers;
};

} // namespace coltsfootbend
