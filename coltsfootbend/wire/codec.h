#pragma once

// Encodes messages as MessagePack and decodes them. A message is an array of the sender, its incarnation, its
// configuration version, the kind (the index in `wire::body`) and the fields of the body. Decoders ignore unknown
// trailing fields and keep the defaults of missing ones, so that processes of two versions can communicate.
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

// Decodes a stream of messages that arrives in pieces of any size.
class message_decoder {
public:
    explicit message_decoder(std::size_t maxMessageBytes);
    ~message_decoder();
    message_decoder(const message_decoder&) = delete;
    message_decoder& operator=(const message_decoder&) = delete;

    void feed(std::string_view bytes);

    // Returns the next message, or none when more bytes are needed. Fails with `BadInput` for bytes that are not a
    // valid message; the decoder cannot be used after that.
    result<std::optional<message>> next();

private:
    struct unpacker;
    std::unique_ptr<unpacker> m_unpacker;
    const std::size_t m_maxMessageBytes;
};

// Encodes and decodes the snapshot of a claim ledger that is handed over through the object store.
std::string encodeLedger(const std::vector<claim_snapshot_row>&);
result<std::vector<claim_snapshot_row>> decodeLedger(std::string_view bytes);

} // namespace coltsfootbend::wire
