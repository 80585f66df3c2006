#include "coltsfootbend/request/ticket.h"

#include <array>
#include <charconv>
#include <string>
#include <string_view>

namespace coltsfootbend {

namespace {

constexpr std::string_view ticketPrefix = "ticket~";
constexpr char separator = '~';
constexpr int hexadecimal = 16;

std::string toHex(std::uint64_t number)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal).ptr;
    return { digits.data(), end };
}

} // namespace

request_key makeTicket(const run_place& holder, std::uint64_t nonce)
{
    return request_key(std::string(ticketPrefix) + holder.worker.text() + separator
        + toHex(holder.workerIncarnation.number()) + separator + toHex(nonce));
}

std::optional<run_place> parseTicket(const request_key& key)
{
    std::string_view rest = key.text();
    if (!rest.starts_with(ticketPrefix))
        return std::nullopt;
    rest.remove_prefix(ticketPrefix.size());
    const auto nonceAt = rest.rfind(separator);
    const auto incarnationAt
        = nonceAt == std::string_view::npos || nonceAt == 0 ? nonceAt : rest.rfind(separator, nonceAt - 1);
    if (incarnationAt == std::string_view::npos || incarnationAt == 0 || incarnationAt >= nonceAt)
        return std::nullopt;
    const auto digits = rest.substr(incarnationAt + 1, nonceAt - incarnationAt - 1);
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    if (code != std::errc {} || end != digits.data() + digits.size() || number == 0)
        return std::nullopt;
    return run_place { vm_id(std::string(rest.substr(0, incarnationAt))), incarnation(number) };
}

} // namespace coltsfootbend
