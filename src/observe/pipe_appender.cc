#include "observe/pipe_appender.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <sstream>
#include <string>

namespace chervilmux::observe {

/// A pipe that is ready takes PIPE_BUF bytes at once, so that a line up to that
/// length neither waits nor is cut. Longer ones are cut: they hold bytes that a
/// caller chose.
bool PipeAppender::Write(std::string_view line) const {
  pollfd ready{this->descriptor, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  std::string bytes(line.substr(0, PIPE_BUF));
  bytes.back() = '\n';
  return write(this->descriptor, bytes.data(), bytes.size()) ==
         static_cast<ssize_t>(bytes.size());
}

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream text;
  this->layout->formatAndAppend(text, event);
  const std::string line = text.str();
  if (line.empty()) return;
  if (this->dropped > this->told) {
    const std::string lost = "{\"event\":\"log_lines_dropped\",\"count\":\"" +
                             std::to_string(this->dropped - this->told) +
                             "\"}\n";
    if (this->Write(lost)) this->told = this->dropped;
  }
  if (!this->Write(line)) this->dropped += 1;
}

}  // namespace chervilmux::observe
