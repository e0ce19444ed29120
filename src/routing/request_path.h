/// \file
/// Defines the parser for the path of callers' requests:
/// /{service}/{key}[/{rest}][?query].

#ifndef CHERVILMUX_ROUTING_REQUEST_PATH_H_
#define CHERVILMUX_ROUTING_REQUEST_PATH_H_

#include <string>
#include <string_view>

#include "kernel/error.h"

namespace chervilmux::routing {

inline constexpr std::size_t kMaxKeyBytes = 1024;

struct RequestPath {
  std::string service;  ///< Percent-decoded; may be an alias or unknown.
  std::string key;      ///< Percent-decoded; any byte except NUL.
};

/// Parses a raw request target. Errors: kBadRequest.
kernel::Result<RequestPath> ParseRequestPath(std::string_view target);

/// Decodes %XX escapes. Errors: kBadRequest for an invalid escape or a NUL
/// byte.
kernel::Result<std::string> PercentDecode(std::string_view text);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_REQUEST_PATH_H_
