/// \file
/// Defines the structured log: one JSON object per line.

#ifndef CHERVILMUX_OBSERVE_LOG_H_
#define CHERVILMUX_OBSERVE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chervilmux::observe {

/// Who writes: stands in every line.
struct LogIdentity {
  std::string program;
  std::string instance;
  std::string failure_domain;
};

/// Names that --log-level accepts.
bool IsLogLevel(std::string_view level);

enum class LogStream : std::uint8_t { kStandardError, kStandardOutput };

/// Starts logging. Call once, before the tasks start.
void StartLog(const LogIdentity& identity, std::string_view level,
              LogStream stream = LogStream::kStandardError);

/// Ends the process once all lines are written. Nothing else waits: the log
/// library's static objects join threads that may not end within a stop's
/// grace.
[[noreturn]] void EndProcess(int status);

using LogFields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Each writes one line. `event` is a stable name; values may hold any bytes.
void LogDebug(std::string_view event, LogFields fields = {});
void LogInfo(std::string_view event, LogFields fields = {});
void LogWarn(std::string_view event, LogFields fields = {});
void LogError(std::string_view event, LogFields fields = {});

/// One log line without its line end. Bytes that are not UTF-8 are replaced.
std::string FormatLogLine(const LogIdentity& identity, std::string_view time,
                          std::string_view level, std::string_view event,
                          LogFields fields);

}  // namespace chervilmux::observe

#endif  // CHERVILMUX_OBSERVE_LOG_H_
