#include "observe/log.h"

#include <ace/Log_Msg.h>
#include <json/json.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <memory>

#include "kernel/json.h"
#include "observe/pipe_appender.h"

namespace chervilmux::observe {
namespace {

constexpr const char* kReplacement = "\xEF\xBF\xBD";

/// Length of the valid UTF-8 sequence at the start of `text`; 0 if invalid.
std::size_t SequenceLength(std::string_view text) {
  const auto lead = static_cast<unsigned char>(text[0]);
  if (lead < 0x80) return 1;
  const std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
  if (lead < 0xC2 || lead > 0xF4 || text.size() < length) return 0;
  std::uint32_t point = lead & (0x7FU >> length);
  for (std::size_t i = 1; i < length; ++i) {
    const auto next = static_cast<unsigned char>(text[i]);
    if ((next & 0xC0U) != 0x80U) return 0;
    point = (point << 6U) | (next & 0x3FU);
  }
  const bool overlong =
      (length == 3 && point < 0x800) || (length == 4 && point < 0x10000);
  const bool surrogate = point >= 0xD800 && point <= 0xDFFF;
  return overlong || surrogate || point > 0x10FFFF ? 0 : length;
}

std::string ToUtf8(std::string_view text) {
  std::string valid;
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) {
      valid += kReplacement;
      text.remove_prefix(1);
    } else {
      valid += text.substr(0, length);
      text.remove_prefix(length);
    }
  }
  return valid;
}

std::string WallTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string time(text, length);
  const std::string fraction = std::to_string(1000 + ms % 1000);
  return time + "." + fraction.substr(1) + "Z";
}

struct State {
  LogIdentity identity;
  log4cplus::Initializer initializer;
  log4cplus::Logger logger;
};

std::unique_ptr<State>& TheState() {
  static std::unique_ptr<State> state;
  return state;
}

void Write(log4cplus::LogLevel level, std::string_view name,
           std::string_view event, LogFields fields) {
  const auto& state = TheState();
  if (!state || !state->logger.isEnabledFor(level)) return;
  state->logger.log(
      level, FormatLogLine(state->identity, WallTime(), name, event, fields));
}

log4cplus::LogLevel LevelOf(std::string_view level) {
  if (level == "debug") return log4cplus::DEBUG_LOG_LEVEL;
  if (level == "warn") return log4cplus::WARN_LOG_LEVEL;
  if (level == "error") return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

bool IsLogLevel(std::string_view level) {
  return level == "debug" || level == "info" || level == "warn" ||
         level == "error";
}

void StartLog(const LogIdentity& identity, std::string_view level,
              LogStream stream) {
  // ACE would write lines of its own, which are not JSON.
  ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
  auto state = std::make_unique<State>();
  state->identity = identity;
  state->logger = log4cplus::Logger::getRoot();
  const bool to_output = stream == LogStream::kStandardOutput;
  log4cplus::SharedAppenderPtr appender(
      new PipeAppender(to_output ? STDOUT_FILENO : STDERR_FILENO));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  state->logger.addAppender(appender);
  state->logger.setLogLevel(LevelOf(level));
  TheState() = std::move(state);
}

void EndProcess(int status) {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
  std::_Exit(status);
}

std::string FormatLogLine(const LogIdentity& identity, std::string_view time,
                          std::string_view level, std::string_view event,
                          LogFields fields) {
  Json::Value line(Json::objectValue);
  line["time"] = std::string(time);
  line["level"] = std::string(level);
  line["program"] = identity.program;
  line["instance"] = ToUtf8(identity.instance);
  line["failure_domain"] = ToUtf8(identity.failure_domain);
  line["event"] = std::string(event);
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = ToUtf8(value);
  }
  return kernel::PrintJson(line);
}

void LogDebug(std::string_view event, LogFields fields) {
  Write(log4cplus::DEBUG_LOG_LEVEL, "debug", event, fields);
}
void LogInfo(std::string_view event, LogFields fields) {
  Write(log4cplus::INFO_LOG_LEVEL, "info", event, fields);
}
void LogWarn(std::string_view event, LogFields fields) {
  Write(log4cplus::WARN_LOG_LEVEL, "warn", event, fields);
}
void LogError(std::string_view event, LogFields fields) {
  Write(log4cplus::ERROR_LOG_LEVEL, "error", event, fields);
}

}  // namespace chervilmux::observe
