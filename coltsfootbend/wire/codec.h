#pragma once

// Turns messages into bytes and back. MessagePack's own library does the encoding; this names the fields. A message is
// an array of sender, life, version, kind (its index in `wire::body`) and fields; unknown trailing fields are ignored
// and missing ones keep their defaults, so that two versions can talk.
//
//     std::string bytes = encode(message);
//     message_decoder decoder(maxMessageBytes);
//     decoder.feed(bytes);
//     auto next = decoder.next(); // a message, none yet, or an error

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/wire/messages.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootbend::wire {

std::string encode(const message&);

// Takes bytes as they come and gives whole messages.
class message_decoder {
public:
    explicit message_decoder(std::size_t maxMessageBytes);
    ~message_decoder();
    message_decoder(const message_decoder&) = delete;
    message_decoder& operator=(const message_decoder&) = delete;

    void feed(std::string_view bytes);

    // Returns the next message, or none when more bytes are needed. Fails with `BadInput` for bytes that are no
    // message; the stream cannot be used any further then.
    result<std::optional<message>> next();

private:
    struct unpacker;
    std::unique_ptr<unpacker> m_unpacker;
    const std::size_t m_maxMessageBytes;
};

// Bytes of a claim ledger's hand-over, as kept in the object store.
std::string encodeLedger(const std::vector<claim_snapshot_row>&);
result<std::vector<claim_snapshot_row>> decodeLedger(std::string_view bytes);

} // namespace coltsfootbend::wire
