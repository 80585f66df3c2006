#include "coltsfootbend/daemon/start_conditions.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <climits>
#include <deque>
#include <iostream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace coltsfootbend {

namespace {

// How long Linux keeps a closed connection in TIME_WAIT.
constexpr std::chrono::seconds timeWaitLength { 60 };
// Added to the time that an address may be in use, for the end of the process before and for slow timers.
constexpr std::chrono::seconds addressMargin { 5 };

// Writes the lines that the reader of standard error leaves room for, and removes them from `lines`.
void printPending(std::deque<std::string>& lines)
{
    while (!lines.empty() && tryPrintLine(lines.front()))
        lines.pop_front();
}

void addIfUsed(std::vector<listen_address>& addresses, const endpoint& address, transport_kind transport)
{
    if (address.port != 0)
        addresses.push_back({ .address = address, .transport = transport });
}

// Returns whether waiting does not help against the reason for which an address cannot be bound. The others pass: the
// address is in use, the VM does not have it yet, or the system is short of descriptors or memory.
bool isPermanent(boost::system::error_code code)
{
    return code == boost::asio::error::access_denied || code == boost::asio::error::address_family_not_supported
        || code == boost::asio::error::invalid_argument;
}

error cannotListen(const listen_address& listening, boost::system::error_code code)
{
    return { error_kind::Unavailable, toString(listening) + ": cannot listen: " + code.message(),
        "Check that the address is this VM's and that no other process uses it" };
}

} // namespace

void printErrors(const std::string& path, const std::vector<error>& errors)
{
    for (const auto& error : errors)
        std::cerr << path << ": " << toString(error) << "\n";
}

// A pipe with room takes up to PIPE_BUF bytes without blocking.
bool tryPrintLine(const std::string& line) { return writeLine(STDERR_FILENO, line.substr(0, PIPE_BUF - 1) + "\n"); }

std::optional<start_settings> awaitSettings(const std::string& path, const std::function<bool()>& isStopRequested)
{
    std::vector<std::string> latest;
    std::deque<std::string> pending;
    while (!isStopRequested()) {
        auto settings = loadStartSettings(path);
        if (settings)
            return std::move(*settings);
        std::vector<std::string> errors;
        for (const auto& error : settings.error())
            errors.push_back(path + ": " + toString(error));
        if (errors != latest) {
            pending.assign(errors.begin(), errors.end());
            pending.push_back("coltsfootbend: reads " + path + " again until it can be used");
            latest = std::move(errors);
        }
        printPending(pending);
        std::this_thread::sleep_for(startRetryInterval);
    }
    return std::nullopt;
}

std::vector<listen_address> listenAddresses(const daemon_settings& settings)
{
    std::vector<listen_address> addresses;
    if (settings.platformStandin)
        addIfUsed(addresses, *settings.platformStandin, transport_kind::Tcp);
    if (settings.engineStandin)
        addIfUsed(addresses, settings.engineStandin->address, transport_kind::Tcp);
    addIfUsed(addresses, settings.peers, transport_kind::Tcp);
    if (settings.gateway || settings.rankAgent)
        addIfUsed(addresses, settings.peers, transport_kind::Udp);
    if (settings.gateway) {
        addIfUsed(addresses, settings.gateway->health, transport_kind::Tcp);
        addIfUsed(addresses, settings.gateway->callers, transport_kind::Tcp);
    }
    if (settings.entry) {
        addIfUsed(addresses, settings.entry->callers, transport_kind::Tcp);
        addIfUsed(addresses, settings.entry->operators, transport_kind::Tcp);
    }
    return addresses;
}

time_point addressDeadline(const daemon_settings& settings, time_point now)
{
    return now + std::max<duration>(timeWaitLength, settings.drainLimit) + addressMargin;
}

result<void> awaitAddresses(fiber_runtime& runtime, const std::vector<listen_address>& addresses, time_point deadline)
{
    for (const auto& listening : addresses) {
        boost::system::error_code logged;
        while (const auto code = probeAddress(listening)) {
            const bool isInUse = code == boost::asio::error::address_in_use;
            if (isPermanent(code) || (isInUse && clock_type::now() >= deadline))
                return tl::unexpected(cannotListen(listening, code));
            if (code != std::exchange(logged, code)) {
                logEvent(log_event::StartWaits,
                    "address=\"" + toString(listening) + "\" why=\"" + code.message() + "\""
                        + (isInUse ? " time_left_ms=" + std::to_string(remaining(clock_type::now(), deadline).count())
                                   : std::string()));
            }
            runtime.sleepFor(startRetryInterval);
        }
    }
    return {};
}

} // namespace coltsfootbend
