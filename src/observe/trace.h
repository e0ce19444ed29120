/// \file
/// Defines how the log lines of one request are gathered from the logs of
/// several instances, with the orders about its key's owner.
///
/// For the on-call engineer: a user names a request's id, and only logs are
/// left. Lines that are not JSON, or whose text stands behind a prefix of
/// whatever collected the logs, are taken as they come.

#ifndef CHERVILMUX_OBSERVE_TRACE_H_
#define CHERVILMUX_OBSERVE_TRACE_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::observe {

/// One log line.
struct TraceLine {
  std::string time;  ///< ISO 8601, UTC; sorts as text.
  std::string instance;
  std::string event;
  std::string kind;  ///< Error kind, if it tells one.
  std::string text;  ///< The line as JSON.
};

struct Trace {
  std::vector<TraceLine> lines;   ///< Of the request, the oldest first.
  std::vector<TraceLine> owners;  ///< Orders that cover its key, likewise.
  /// Index in `lines` of the one that tells the request's end.
  std::optional<std::size_t> deciding;
  std::string key;  ///< The request's key; empty without one.
};

/// Gathers log lines. Feed all files, then ask for one request.
class TraceReader {
 public:
  explicit TraceReader(std::string request_id);

  void Read(std::istream& log);

  Trace Result() const;

 private:
  void TakeLine(std::string_view line);

  std::string request_id;
  Trace trace;
  struct OwnerLine {
    TraceLine line;
    std::string service;
    unsigned long first = 0;
    unsigned long last = 0;
  };
  std::vector<OwnerLine> owner_lines;
  std::string service;
};

/// The trace as text for people: its lines, the deciding one marked, and what
/// its error kind means.
std::string DescribeTrace(const Trace& trace);

}  // namespace chervilmux::observe

#endif  // CHERVILMUX_OBSERVE_TRACE_H_
