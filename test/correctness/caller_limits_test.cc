// What the connections of callers are held to.

#include "node/caller_limits.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <initializer_list>

#include "net/tcp.h"

namespace chervilmux::node {

// Failure: a connection is closed as idle while its caller, which counts from
// when its last answer reached it, still uses it.
TEST_CASE("a connection outlasts the idle time that its caller counts") {
  for (const int told_seconds : {1, 15, 60}) {
    model::CallerLimits told;
    told.idle_timeout = kernel::seconds(told_seconds);
    const net::FrontLimits limits = CallerFrontLimits(told, NodeSettings());
    // An answer may be on its way for as long as it may stay unacknowledged.
    CHECK(limits.idle_timeout >=
          told.idle_timeout + net::kCallerUnacknowledgedLimit);
  }
}

// Failure: callers that take nothing of their answers fill the memory of a
// small instance.
TEST_CASE("answers that callers do not take use a quarter of the memory") {
  for (const std::size_t megabytes : {160U, 256U, 1024U}) {
    NodeSettings settings;
    settings.memory_bytes = megabytes << 20U;
    const net::FrontLimits limits =
        CallerFrontLimits(model::CallerLimits(), settings);
    CHECK(limits.max_unsent_bytes <= settings.memory_bytes / 4);
  }
}

}  // namespace chervilmux::node
