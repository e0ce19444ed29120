/// \file
/// Defines what a server of HTTP asks and is told about request bodies whose
/// memory is to be charged.

#ifndef CHERVILMUX_NET_BODY_DEMAND_H_
#define CHERVILMUX_NET_BODY_DEMAND_H_

#include <cstddef>
#include <cstdint>

#include "kernel/time.h"

namespace chervilmux::net {

/// A body up to this size is short. Short ones may use a part of the budget
/// that large ones may not, and are never ended for others.
constexpr std::size_t kShortBodyBytes = 16U << 10U;

/// What requests are charged with, in bytes.
struct BodyCharges {
  std::size_t limit = 0;
  /// One large body alone may be charged with as much.
  std::size_t limit_alone = 0;
  std::size_t total = 0;
  std::size_t whole_large = 0;  ///< The part for large bodies that are whole.
};

/// A large body that is not whole.
struct BodyInProgress {
  std::uint64_t connection = 0;
  std::size_t charge = 0;
  std::size_t received = 0;
  kernel::Instant begun;
  kernel::Instant progressed_at;  ///< When bytes of it arrived last.
  bool paused = false;            ///< This instance does not read it now.
};

/// A body that needs a larger charge before it is read on.
struct BodyDemand {
  std::uint64_t connection = 0;
  std::size_t bytes = 0;  ///< To be charged in addition.
  bool is_short = false;
  bool is_new = false;  ///< Nothing of it has been read.
};

enum class BodyStep : std::uint8_t {
  kRead,
  kPause,     ///< Stop reading, and ask again later.
  kRefuse,    ///< End the body that asks.
  kEndOther,  ///< End the other body that is named, then ask again.
};

struct BodyDecision {
  BodyStep step = BodyStep::kRead;
  std::uint64_t other = 0;  ///< Connection of the body to end.
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_BODY_DEMAND_H_
