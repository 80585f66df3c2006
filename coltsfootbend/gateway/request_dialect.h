#pragma once

// What headers mean between callers, the gateway and backend servers. The gateway decides on these typed facts; an
// adapter knows the names. Not for framing, which `net/http.h` and `gateway/backend_connection.h` do.
//
//     const caller_facts facts = dialect.readCaller(request);
//     const http_request onward = dialect.toBackend(request, call);
//     const backend_facts answer = dialect.readBackend(head);

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notice.h"
#include "coltsfootbend/net/http.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootbend {

struct caller_facts {
    // The caller's name for this attempt; empty when it gave none.
    std::string requestId;
    // How long the caller will wait, where it says so.
    std::optional<duration> timeLeft;
    // None when it was not given exactly once.
    std::optional<std::string> key;
    // The caller has the events of a stream up to this one.
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t promptTokens = 0;
    std::uint32_t mostAnswerTokens = 0;
};

// One sending of a request to one backend server.
struct backend_call {
    backend_id server;
    customer_id customer; // Empty without one.
    duration timeLeft {};
    std::uint32_t priority = 0; // 0 comes first.
    std::optional<std::uint64_t> resumeAfter;
};

struct server_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct backend_facts {
    // The server proves that it did not run the request.
    bool isNotRun = false;
    // The server of this address is not the one that was meant.
    bool isOtherServer = false;
    // For a refusal: the server that kept the request from running, itself or another rank of its group.
    std::optional<endpoint> atFault;
    // Bears the server's signature, without which a success is not to be believed.
    bool isSigned = false;
    // Was changed on the way: bodies are asked for without coding.
    bool isEncoded = false;
    // Whose answer it is; empty when it does not say.
    std::string requestId;
    std::optional<server_load> load;
    backend_notice notice;
    // For how long the server keeps the connection when idle, where it says so.
    std::optional<duration> keptFor;
};

class request_dialect {
public:
    virtual ~request_dialect() = default;
    virtual caller_facts readCaller(const http_request&) const = 0;
    virtual http_request toBackend(const http_request&, const backend_call&) const = 0;
    virtual backend_facts readBackend(const http_head&) const = 0;
    // Returns the header that says whose answer an own one is.
    virtual http_header requestIdHeader(const std::string& id) const = 0;
    // Returns the headers of a server's answer that the caller gets.
    virtual std::vector<http_header> toCaller(const http_head&) const = 0;
};

} // namespace coltsfootbend
