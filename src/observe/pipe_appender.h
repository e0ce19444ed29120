/// \file
/// Defines a log appender that never waits for its reader.
///
/// A process whose log is not read must go on serving. A line that would have
/// to wait is dropped and counted; the next line that gets through is preceded
/// by one that tells how many were lost.

#ifndef CHERVILMUX_OBSERVE_PIPE_APPENDER_H_
#define CHERVILMUX_OBSERVE_PIPE_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string_view>

namespace chervilmux::observe {

class PipeAppender : public log4cplus::Appender {
 public:
  /// Writes to `descriptor`, which stays open and is not owned.
  explicit PipeAppender(int descriptor) : descriptor(descriptor) {}
  ~PipeAppender() override { this->destructorImpl(); }

  void close() override {}

  /// Lines lost so far.
  std::uint64_t Dropped() const { return this->dropped; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool Write(std::string_view line) const;

  int descriptor;
  std::uint64_t dropped = 0;
  std::uint64_t told = 0;  ///< Lost lines that a line has told of.
};

}  // namespace chervilmux::observe

#endif  // CHERVILMUX_OBSERVE_PIPE_APPENDER_H_
