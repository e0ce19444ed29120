/// \file
/// Defines one backend server as the platform's list describes it.

#ifndef CHERVILMUX_MODEL_BACKEND_SERVER_H_
#define CHERVILMUX_MODEL_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "kernel/time.h"
#include "net/address.h"

namespace chervilmux::model {

/// A server that may have left, or be leaving, gets nothing so long after it
/// was last known to stay: news of it come late. The platform's bound is 2 s;
/// 0.4 s of them are for changes that a reader of the store gathers and for the
/// way to the server.
inline constexpr kernel::Duration kLeavingServerGracePeriod =
    kernel::milliseconds(1600);

struct BackendServer {
  std::string id;
  std::string service;
  net::Address address;
  std::string failure_domain;
  unsigned slots = 1;  ///< Requests that it works on at the same time.
  bool draining = false;
  /// Changes with each start of the server, also under the same id.
  std::uint64_t life = 0;
  kernel::Duration remaining_warm_up =
      kernel::seconds(0);  ///< When it was listed.

  bool operator==(const BackendServer&) const = default;
};

}  // namespace chervilmux::model

#endif  // CHERVILMUX_MODEL_BACKEND_SERVER_H_
