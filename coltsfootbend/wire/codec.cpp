#include "coltsfootbend/wire/codec.h"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>
#include <utility>

// List the fields of each message in the order in which they are encoded; new fields may only be appended. The
// functions are static instead of in an unnamed namespace so that argument-dependent lookup finds them.
namespace coltsfootbend {

static auto fieldsOf(attempt_id& value) { return std::tie(value.entry, value.entryIncarnation, value.serial); }
static auto fieldsOf(run_place& value) { return std::tie(value.worker, value.workerIncarnation); }
static auto fieldsOf(customer_key& value) { return std::tie(value.customer, value.key); }
static auto fieldsOf(claim_holder& value) { return std::tie(value.attempt, value.place); }
static auto fieldsOf(claim_request& value)
{
    return std::tie(value.key, value.attempt, value.place, value.attemptNumber, value.bodyHash, value.replaces,
        value.ticketIncarnation);
}
static auto fieldsOf(claim_snapshot_row& value)
{
    return std::tie(value.key, value.holder, value.closedThrough, value.closed, value.bodyHash);
}

namespace wire {

static auto fieldsOf(dispatch& value)
{
    return std::tie(value.attempt, value.workerIncarnation, value.customer, value.priority, value.weight,
        value.deadlineLeftUs, value.expectedServiceUs, value.deployment, value.method, value.target, value.contentType,
        value.body);
}
static auto fieldsOf(head& value) { return std::tie(value.status, value.contentType); }
static auto fieldsOf(bytes& value) { return std::tie(value.offset, value.data); }
static auto fieldsOf(end& value) { return std::tie(value.totalBytes); }
static auto fieldsOf(refused& value) { return std::tie(value.reason, value.retryAfterMs); }
static auto fieldsOf(failed&) { return std::tie(); }
static auto fieldsOf(other_incarnation&) { return std::tie(); }
static auto fieldsOf(revoke& value) { return std::tie(value.attempt, value.workerIncarnation); }
static auto fieldsOf(revoke_reply& value) { return std::tie(value.verdict); }
static auto fieldsOf(join& value) { return std::tie(value.attempt, value.workerIncarnation, value.offset); }
static auto fieldsOf(cancel& value) { return std::tie(value.attempt, value.workerIncarnation); }
static auto fieldsOf(claim& value) { return std::tie(value.request); }
static auto fieldsOf(claim_reply& value) { return std::tie(value.verdict, value.holder); }
static auto fieldsOf(close& value)
{
    return std::tie(value.key, value.attemptNumber, value.releases, value.ticketIncarnation);
}
static auto fieldsOf(load& value)
{
    return std::tie(value.pendingServiceUs, value.slots, value.groupSlowestPendingUs, value.ageUs);
}
static auto fieldsOf(announce& value)
{
    return std::tie(value.worker, value.workerIncarnation, value.dataCentre, value.address, value.deployments,
        value.leaving, value.current, value.nextWithinUs);
}
static auto fieldsOf(acknowledge&) { return std::tie(); }
static auto fieldsOf(config_request& value) { return std::tie(value.have); }
static auto fieldsOf(config_step& value)
{
    return std::tie(value.version, value.id, value.actor, value.acceptedAtMs, value.mergePatch);
}
static auto fieldsOf(config_reply& value) { return std::tie(value.base, value.document, value.steps); }
static auto fieldsOf(config_notice&) { return std::tie(); }
static auto fieldsOf(drain& value) { return std::tie(value.actor); }
static auto fieldsOf(deployment_inquiry&) { return std::tie(); }
static auto fieldsOf(deployment_request& value)
{
    return std::tie(value.configurationRevision, value.serversRevision, value.acceptsDifferences,
        value.configurationEra, value.serversEra, value.version);
}
static auto fieldsOf(stored_row& value)
{
    return std::tie(value.key, value.value, value.revision, value.isDeleted, value.era);
}
static auto fieldsOf(deployment_reply& value)
{
    return std::tie(value.configurationRevision, value.configuration, value.serversRevision, value.servers,
        value.isConfigurationDifference, value.isServersDifference, value.configurationEra, value.serversEra,
        value.configurationInForce);
}
static auto fieldsOf(order_scope& value)
{
    return std::tie(value.term, value.group, value.epoch, value.engineIncarnation, value.leaderRun, value.serial);
}
static auto fieldsOf(rank_query& value) { return std::tie(value.scope, value.wantsDemand, value.wantsMap); }
static auto fieldsOf(rank_state& value)
{
    return std::tie(value.term, value.group, value.epoch, value.rank, value.ranks, value.isOpen, value.step,
        value.mapVersion, value.preparedVersion, value.armedVersion, value.armedStep, value.isArmUncertain,
        value.heldStep, value.highestVersion, value.pace, value.requests, value.lacksBase, value.demand, value.map,
        value.engineIncarnation, value.preparedTerm, value.target);
}
static auto fieldsOf(rank_row& value) { return std::tie(value.set, value.rank, value.experts); }
static auto fieldsOf(rank_prepare& value)
{
    return std::tie(value.scope, value.version, value.map, value.baseVersion, value.changes);
}
static auto fieldsOf(rank_arm& value) { return std::tie(value.scope, value.version, value.step); }
static auto fieldsOf(rank_release& value) { return std::tie(value.scope, value.step); }
static auto fieldsOf(rank_disarm& value) { return std::tie(value.scope, value.version); }
static auto fieldsOf(relay_target& value)
{
    return std::tie(value.number, value.host, value.engineIncarnation, value.dataCentre, value.reportsDemand);
}
static auto fieldsOf(relayed_order& value) { return std::tie(value.order, value.own, value.others, value.timeLeftMs); }
static auto fieldsOf(rank_state_difference& value)
{
    return std::tie(value.target, value.rank, value.engineIncarnation, value.steps, value.requests, value.pacePercent);
}
static auto fieldsOf(relayed_answers& value)
{
    return std::tie(value.common, value.differences, value.others, value.demand);
}
static auto fieldsOf(store_confirmation& value) { return std::tie(value.revision, value.ageMs, value.era); }
static auto fieldsOf(deployment_knowledge& value)
{
    return std::tie(
        value.configuration, value.servers, value.isServed, value.dataCentre, value.isOnStandby, value.version);
}
static auto fieldsOf(load_subscribe& value) { return std::tie(value.knows); }
static auto fieldsOf(server_limit& value)
{
    return std::tie(
        value.server, value.serverIncarnation, value.perSecond, value.isNamed, value.ageMs, value.issuingForMs);
}
static auto fieldsOf(permit_request& value) { return std::tie(value.limit, value.requestsPermit, value.serial); }
static auto fieldsOf(permit_reply& value)
{
    return std::tie(value.limit, value.serial, value.isGranted, value.expectedInMs, value.waitingGateways);
}
static auto fieldsOf(load_update& value)
{
    return std::tie(value.engine, value.running, value.waiting, value.usedTokens, value.totalTokens, value.pace,
        value.group, value.epoch, value.step, value.isOpen, value.subscribers, value.ranks, value.newerDeploymentAt,
        value.engineIncarnation, value.configuration, value.servers, value.duty, value.crashes, value.limits);
}
static auto fieldsOf(crash_entry& value) { return std::tie(value.suspect, value.server, value.ageMs, value.isCleared); }
static auto fieldsOf(port_inquiry& value) { return std::tie(value.address); }
static auto fieldsOf(port_finding& value) { return std::tie(value.isKnown, value.isRefused); }
static auto fieldsOf(crash_report& value) { return std::tie(value.entries, value.wantsAll); }
static auto fieldsOf(problem& value) { return std::tie(value.kind, value.message, value.remedy); }

} // namespace wire

template <typename T>
concept has_fields = requires(T& value)
{
    fieldsOf(value);
};

// Decodes the alternative with the index `kind`. Returns false if no alternative has that index.
template <typename Variant, std::size_t Index = 0>
static bool convertAlternative(std::uint32_t kind, const msgpack::object& in, Variant& out)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (kind != Index)
            return convertAlternative<Variant, Index + 1>(kind, in, out);
        in.convert(out.template emplace<Index>());
        return true;
    } else {
        return false;
    }
}

} // namespace coltsfootbend

// NOLINTBEGIN(readability-identifier-naming): names required by msgpack.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <typename T> struct pack<T, std::enable_if_t<coltsfootbend::has_fields<T>>> {
        template <typename Stream> packer<Stream>& operator()(packer<Stream>& out, const T& value) const
        {
            auto fields = fieldsOf(const_cast<T&>(value));
            out.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(fields)>));
            std::apply([&](auto&... field) { (out.pack(field), ...); }, fields);
            return out;
        }
    };

    template <typename T> struct convert<T, std::enable_if_t<coltsfootbend::has_fields<T>>> {
        const msgpack::object& operator()(const msgpack::object& in, T& value) const
        {
            if (in.type != msgpack::type::ARRAY)
                throw msgpack::type_error();
            std::uint32_t index = 0;
            const auto take = [&](auto& field) {
                if (index < in.via.array.size)
                    in.via.array.ptr[index].convert(field);
                ++index;
            };
            auto fields = fieldsOf(value);
            std::apply([&](auto&... field) { (take(field), ...); }, fields);
            return in;
        }
    };

    // Encodes the index of the alternative, then its fields.
    template <> struct pack<coltsfootbend::wire::rank_order> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const coltsfootbend::wire::rank_order& value) const
        {
            out.pack_array(2);
            out.pack(static_cast<std::uint32_t>(value.index()));
            std::visit([&](const auto& alternative) { out.pack(alternative); }, value);
            return out;
        }
    };
    template <> struct convert<coltsfootbend::wire::rank_order> {
        const msgpack::object& operator()(const msgpack::object& in, coltsfootbend::wire::rank_order& value) const
        {
            if (in.type != msgpack::type::ARRAY || in.via.array.size < 2)
                throw msgpack::type_error();
            const auto* parts = in.via.array.ptr;
            if (!coltsfootbend::convertAlternative(parts[0].as<std::uint32_t>(), parts[1], value))
                throw msgpack::type_error();
            return in;
        }
    };

    template <typename Tag> struct pack<coltsfootbend::text_id<Tag>> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const coltsfootbend::text_id<Tag>& value) const
        {
            return out.pack(value.text());
        }
    };
    template <typename Tag> struct convert<coltsfootbend::text_id<Tag>> {
        const msgpack::object& operator()(const msgpack::object& in, coltsfootbend::text_id<Tag>& value) const
        {
            value = coltsfootbend::text_id<Tag>(in.as<std::string>());
            return in;
        }
    };
    template <typename Tag> struct pack<coltsfootbend::number_id<Tag>> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const coltsfootbend::number_id<Tag>& value) const
        {
            return out.pack(value.number());
        }
    };
    template <typename Tag> struct convert<coltsfootbend::number_id<Tag>> {
        const msgpack::object& operator()(const msgpack::object& in, coltsfootbend::number_id<Tag>& value) const
        {
            value = coltsfootbend::number_id<Tag>(in.as<std::uint64_t>());
            return in;
        }
    };

    template <typename T> struct pack<T, std::enable_if_t<std::is_enum_v<T>>> {
        template <typename Stream> packer<Stream>& operator()(packer<Stream>& out, const T& value) const
        {
            return out.pack(static_cast<std::uint32_t>(value));
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

// Checks a decoded enumeration against its last member, so that unknown values are rejected.
#define COLTSFOOTBEND_WIRE_ENUM(type_name, last)                                                                       \
    namespace msgpack {                                                                                                \
    MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)                                                              \
    {                                                                                                                  \
        namespace adaptor {                                                                                            \
        template <> struct convert<coltsfootbend::type_name> {                                                         \
            const msgpack::object& operator()(const msgpack::object& in, coltsfootbend::type_name& value) const        \
            {                                                                                                          \
                const auto number = in.as<std::uint32_t>();                                                            \
                if (number > static_cast<std::uint32_t>(coltsfootbend::type_name::last))                               \
                    throw msgpack::type_error();                                                                       \
                value = static_cast<coltsfootbend::type_name>(number);                                                 \
                return in;                                                                                             \
            }                                                                                                          \
        };                                                                                                             \
        }                                                                                                              \
    }                                                                                                                  \
    }

COLTSFOOTBEND_WIRE_ENUM(refusal, EntryLeaving)
COLTSFOOTBEND_WIRE_ENUM(revoke_verdict, Forgotten)
COLTSFOOTBEND_WIRE_ENUM(claim_verdict, Leaving)
// NOLINTEND(readability-identifier-naming)

namespace coltsfootbend::wire {

namespace {

constexpr std::uint32_t envelopeFields = 5;
// Maximum number of items in each array of a message.
constexpr std::size_t maxItemsOfArray = 65'536;
// Initial size of a decoder's buffer. Most messages are short and a process may decode a hundred streams at once, for
// which the library's default of 64 KiB each is wasteful.
constexpr std::size_t firstBufferBytes = 4096;

tl::unexpected<error> badMessage(const std::string& what)
{
    return fail(error_kind::BadInput, "not a message of this system: " + what,
        "Check that both processes are of versions that can talk, and that the port is the right one");
}

// Limits the memory that the header of an array, a map or a text can request before its content has arrived.
msgpack::unpack_limit limits(std::size_t maxItems, std::size_t maxBytes)
{
    constexpr std::size_t maxDepth = 8;
    return { maxItems, maxItems, maxBytes, maxBytes, maxBytes, maxDepth };
}

} // namespace

std::string encode(const message& message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(envelopeFields);
    out.pack(message.sender);
    out.pack(message.senderIncarnation);
    out.pack(message.version);
    out.pack(static_cast<std::uint32_t>(message.content.index()));
    std::visit([&](const auto& content) { out.pack(content); }, message.content);
    return { buffer.data(), buffer.size() };
}

struct message_decoder::unpacker {
    explicit unpacker(std::size_t maxMessageBytes)
        : stream(nullptr, nullptr, firstBufferBytes, limits(maxItemsOfArray, maxMessageBytes))
    {
    }
    msgpack::unpacker stream;
};

message_decoder::message_decoder(std::size_t maxMessageBytes)
    : m_unpacker(std::make_unique<unpacker>(maxMessageBytes))
    , m_maxMessageBytes(maxMessageBytes)
{
}

message_decoder::~message_decoder() = default;

void message_decoder::feed(std::string_view bytes)
{
    m_unpacker->stream.reserve_buffer(bytes.size());
    std::copy(bytes.begin(), bytes.end(), m_unpacker->stream.buffer());
    m_unpacker->stream.buffer_consumed(bytes.size());
}

result<std::optional<message>> message_decoder::next()
{
    try {
        msgpack::object_handle handle;
        if (!m_unpacker->stream.next(handle)) {
            if (m_unpacker->stream.nonparsed_size() > m_maxMessageBytes)
                return badMessage("it is too long");
            return std::optional<message>();
        }
        const auto& in = handle.get();
        if (in.type != msgpack::type::ARRAY || in.via.array.size < envelopeFields)
            return badMessage("its envelope is incomplete");
        const auto* fields = in.via.array.ptr;
        message decoded;
        fields[0].convert(decoded.sender);
        fields[1].convert(decoded.senderIncarnation);
        fields[2].convert(decoded.version);
        if (!convertAlternative(fields[3].as<std::uint32_t>(), fields[4], decoded.content))
            return badMessage("its kind is unknown");
        return std::optional<message>(std::move(decoded));
    } catch (const std::exception& exception) {
        // Exceptions of the library are converted to errors here and never leave this file.
        return badMessage(exception.what());
    }
}

std::string encodeLedger(const std::vector<claim_snapshot_row>& rows)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, rows);
    return { buffer.data(), buffer.size() };
}

result<std::vector<claim_snapshot_row>> decodeLedger(std::string_view bytes)
{
    try {
        // Each item takes at least one byte, so no valid snapshot exceeds these limits.
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits(bytes.size(), bytes.size()))
            .get()
            .as<std::vector<claim_snapshot_row>>();
    } catch (const std::exception& exception) {
        return badMessage(exception.what());
    }
}

} // namespace coltsfootbend::wire
