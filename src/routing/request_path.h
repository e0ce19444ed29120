/// \file
/// Defines the callers' path: /{service}/{key}[/{rest}][?query].

#ifndef CHERVILMUX_ROUTING_REQUEST_PATH_H_
#define CHERVILMUX_ROUTING_REQUEST_PATH_H_

#include <string>
#include <string_view>

#include "kernel/error.h"

namespace chervilmux::routing {

inline constexpr std::size_t kMaxKeyBytes = 1024;

struct RequestPath {
  std::string service;  ///< Percent-decoded spelling, not yet looked up.
  std::string key;      ///< Percent-decoded; may hold any byte but NUL.
};

/// Splits a raw request target. Errors: kBadRequest.
kernel::Result<RequestPath> ParseRequestPath(std::string_view target);

/// Decodes %XX escapes. Errors: kBadRequest for a bad escape or a NUL.
kernel::Result<std::string> PercentDecode(std::string_view text);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_REQUEST_PATH_H_
