/// \file
/// Defines the command that explains one request from saved logs.

#ifndef CHERVILMUX_APPS_CHERVILMUX_TRACE_H_
#define CHERVILMUX_APPS_CHERVILMUX_TRACE_H_

#include <span>
#include <string>

namespace chervilmux::command {

/// Prints what the logs in `files` (standard input without any) tell of the
/// request. Returns the exit status: 0, or 1 with one line on standard error
/// when a file cannot be read or no line is about the request.
int PrintTrace(const std::string& request_id,
               std::span<const std::string> files);

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_TRACE_H_
