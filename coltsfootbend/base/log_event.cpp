#include "coltsfootbend/base/log_event.h"

#include "coltsfootbend/base/event_limiter.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace coltsfootbend {

namespace {

// Above the 60 lines per second of an entry at its planned peak (20 requests per second, three lines each); a flood of
// one event is dropped.
constexpr event_limiter::options eventLimits { .perSecond = 100, .burst = 300 };
// Maximum length of a message; longer ones are truncated. A write of at most PIPE_BUF bytes (4096) is atomic, so a line
// is written to a pipe as a whole or not at all.
constexpr std::size_t maxMessageBytes = 2000;

// Writes log lines to standard output without blocking. Lines that the reader leaves no space for are dropped and
// counted.
class output_sink final : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime& time,
        const char* message, std::size_t length) override
    {
        std::array<char, 48> stamp {};
        const auto& moment = time.tm();
        const auto written = std::strftime(stamp.data(), stamp.size(), "%Y-%m-%dT%H:%M:%S", &moment);
        (void)std::snprintf(stamp.data() + written, stamp.size() - written, ".%06d %c ", time.usec(),
            google::GetLogSeverityName(severity)[0]);
        std::string line = stamp.data();
        line.append(message, std::min(length, maxMessageBytes));
        line += '\n';
        if (!writeLine(STDOUT_FILENO, line))
            ++m_droppedLines;
        else if (m_droppedLines > 0 && writeLine(STDOUT_FILENO, droppedLinesMessage()))
            m_droppedLines = 0;
    }

private:
    std::string droppedLinesMessage() const
    {
        return "log: " + std::to_string(m_droppedLines) + " lines dropped, output full\n";
    }

    std::uint64_t m_droppedLines = 0;
};

output_sink& sink()
{
    static output_sink instance;
    return instance;
}

event_limiter& limiter()
{
    static event_limiter instance(eventLimits);
    return instance;
}

google::LogSeverity severityOf(log_event event)
{
    switch (event) {
    case log_event::ConfigurationRejected:
    case log_event::SettingsRefused:
    case log_event::ReloadGivenUp:
    case log_event::DeploymentRowUnreadable:
    case log_event::RequestFaulted:
    case log_event::ProcessFaulted:
    case log_event::ProcessFailed:
        return google::GLOG_ERROR;
    case log_event::StartWaits:
    case log_event::SettingReplaced:
    case log_event::StoreLost:
    case log_event::StoreCallFailed:
    case log_event::StorePollStalled:
    case log_event::StoreRestored:
    case log_event::ConfigurationMayBeBehind:
    case log_event::WorkerSuspected:
    case log_event::BackendCrashed:
    case log_event::RequestQuarantine:
    case log_event::ServingChanged:
    case log_event::LedgerIncomplete:
    case log_event::RequestUnknown:
    case log_event::RequestFailed:
    case log_event::AnswerIncomplete:
    case log_event::ConnectionRefused:
    case log_event::EngineFailed:
    case log_event::OperatorRefused:
    case log_event::MapChangeFailed:
        return google::GLOG_WARNING;
    default:
        return google::GLOG_INFO;
    }
}

} // namespace

bool writeLine(int file, std::string_view line)
{
    pollfd ready { file, POLLOUT, 0 };
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
        return false;
    return ::write(file, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void logEvent(log_event event, std::string_view details)
{
    const int number = static_cast<int>(event);
    const auto granted = limiter().take(number, clock_type::now());
    if (!granted)
        return;
    google::LogMessage message(__FILE__, __LINE__, severityOf(event));
    message.stream() << "E" << number << " " << details;
    if (granted->droppedBefore > 0)
        message.stream() << " dropped_before=" << granted->droppedBefore;
}

void startLog(const char* program, std::string_view directory)
{
    if (!directory.empty())
        FLAGS_log_dir = std::string(directory);
    google::InitGoogleLogging(program);
    if (!directory.empty())
        return;
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::SetStderrLogging(google::NUM_SEVERITIES);
    google::AddLogSink(&sink());
}

void stopLog() { google::FlushLogFiles(google::GLOG_INFO); }

} // namespace coltsfootbend
