#include "coltsfootbend/base/log_event.h"

#include <cstdio>
#include <glog/logging.h>
#include <string>

namespace coltsfootbend {

void logEvent(log_event event, std::string_view details)
{
    const int number = static_cast<int>(event);
    switch (event) {
    case log_event::ConfigurationRejected:
        LOG(ERROR) << "E" << number << " " << details;
        return;
    case log_event::WorkerSuspected:
    case log_event::LedgerIncomplete:
    case log_event::RequestUnknown:
    case log_event::EngineFailed:
    case log_event::OperatorRefused:
        LOG(WARNING) << "E" << number << " " << details;
        return;
    default:
        LOG(INFO) << "E" << number << " " << details;
        return;
    }
}

void startLog(const char* program, std::string_view directory)
{
    if (directory.empty()) {
        FLAGS_logtostdout = true;
        // Whole lines at once: what a killed process had to say must not be lost.
        std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    } else
        FLAGS_log_dir = std::string(directory);
    google::InitGoogleLogging(program);
}

void stopLog() { google::FlushLogFiles(google::GLOG_INFO); }

} // namespace coltsfootbend
