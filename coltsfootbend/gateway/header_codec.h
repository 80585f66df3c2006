#pragma once

// Translation between HTTP headers and the typed values by which the gateway makes its decisions. The gateway knows
// this interface only; the platform's adapter implements it and knows the names of the headers. `net/http.h` and
// `gateway/backend_connection.h` do the framing.
//
//     const request_metadata caller = codec.readCaller(request);
//     const http_request forwarded = codec.toBackend(request, call);
//     const response_metadata response = codec.readBackend(head);

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notice.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/quarantine/prompt_part.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootbend {

// What a caller states in the headers of a request.
struct request_metadata {
    // The caller's identifier for this attempt of a request; empty when the caller sent none.
    std::string requestId;
    // How long the caller still waits for the response; none when it does not state it.
    std::optional<duration> timeLeft;
    // The caller's API key; none unless the request has exactly one.
    std::optional<std::string> apiKey;
    // For a resumed stream: the id of the last event that the caller received.
    std::optional<std::uint64_t> lastEventId;
    // Number of tokens in the prompt; 0 when not stated.
    std::uint32_t promptTokens = 0;
    // Limit for the number of tokens in the response; 0 when not stated.
    std::uint32_t maxAnswerTokens = 0;
    // Parts of the prompt that other requests may share, without the last one; empty when not stated.
    std::vector<prompt_part_id> promptParts;
};

// What the gateway states in the headers when it sends a request to a backend server.
struct forwarding_metadata {
    backend_id server; // The intended server; any other server refuses the request.
    customer_id customer; // Empty for callers without a customer, on open routes.
    duration timeLeft {}; // Time until the request's deadline.
    std::uint32_t priority = 0; // 0 comes first.
    // For a resumed stream: the id of the last event that the caller has.
    std::optional<std::uint64_t> resumeAfter;
};

// Number of requests that a backend server is running and that wait there.
struct server_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// What a backend server states in the headers of a response.
struct response_metadata {
    // The response proves that the server did not run the request.
    bool isNotRun = false;
    // The server at this address is not the intended one (421 Misdirected Request).
    bool isMisdirected = false;
    // For a refusal: address of the server that prevented the request from running, which is the refusing server itself
    // or another rank of its group.
    std::optional<endpoint> atFault;
    // The response has the server's signature. A success without it is rejected.
    bool isSigned = false;
    // The response has a content encoding. The gateway requests none, so an intermediary has changed the response.
    bool isEncoded = false;
    // Identifier of the request to which this is the response; empty when not stated.
    std::string requestId;
    // The server's load; none when not stated.
    std::optional<server_load> load;
    // The limit, backoff or leaving that the server announces.
    backend_notice notice;
    // How long the server keeps an idle connection open; none when not stated.
    std::optional<duration> keepAliveTimeout;
};

// Reads and writes the headers of requests and responses. Implementations are stateless.
class header_codec {
public:
    virtual ~header_codec() = default;
    // Reads the headers of a caller's request.
    virtual request_metadata readCaller(const http_request&) const = 0;
    // Returns the request that is sent to a backend server: without the headers that concern the caller's connection
    // only, and with those of the call.
    virtual http_request toBackend(const http_request&, const forwarding_metadata&) const = 0;
    // Reads the headers of a backend server's response.
    virtual response_metadata readBackend(const http_head&) const = 0;
    // Returns the header that identifies the request to which the gateway itself responds.
    virtual http_header requestIdHeader(const std::string& id) const = 0;
    // Returns the headers of a server's response that are passed on to the caller.
    virtual std::vector<http_header> toCaller(const http_head&) const = 0;
};

} // namespace coltsfootbend
