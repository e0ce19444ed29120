/// \file
/// Defines a backend server as listed in the store.

#ifndef CHERVILMUX_MODEL_BACKEND_SERVER_H_
#define CHERVILMUX_MODEL_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "kernel/time.h"
#include "net/address.h"

namespace chervilmux::model {

/// How long a server still gets requests after the last time at which it was
/// known not to be leaving, however late an instance learns that it leaves. The
/// platform allows 2 s; 0.4 s of them are reserved for the delay of store reads
/// and for the delivery of a request to the server.
inline constexpr kernel::Duration kLeavingServerGracePeriod =
    kernel::milliseconds(1600);

struct BackendServer {
  std::string id;
  std::string service;
  net::Address address;
  std::string failure_domain;
  /// Requests that the server processes concurrently.
  unsigned slots = 1;
  /// The server is about to leave and gets no new requests, except for keys
  /// that it still owns.
  bool draining = false;
  /// Incarnation: a different number after each restart under the same id.
  std::uint64_t life = 0;
  /// Rises with each report of the server about itself within a life.
  std::uint64_t report_number = 0;
  /// How long the server still answers slowly, because it warms up, after an
  /// instance first receives this record.
  kernel::Duration remaining_warm_up = kernel::seconds(0);

  bool operator==(const BackendServer&) const = default;
};

}  // namespace chervilmux::model

#endif  // CHERVILMUX_MODEL_BACKEND_SERVER_H_
