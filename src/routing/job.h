/// \file
/// Defines a job: one caller's request on its way through this instance.

#ifndef CHERVILMUX_ROUTING_JOB_H_
#define CHERVILMUX_ROUTING_JOB_H_

#include <cstdint>
#include <functional>
#include <string>

#include "kernel/error.h"
#include "kernel/time.h"
#include "net/frame_link.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "routing/relay_message.h"

namespace chervilmux::routing {

/// Takes the one reply of a job. May be called on any thread's behalf, but
/// always from the router task.
using ReplyHandler = std::function<void(Reply)>;

/// Where a job is right now.
enum class JobState : std::uint8_t {
  kBackoff,  ///< Waits for its next attempt.
  kHeld,     ///< Waits at the primary for ownership to settle.
  kQueued,   ///< Waits at the primary for a slot of its server.
  kSent,     ///< Is with its server.
  kRelayed,  ///< Is with the primary of its cell.
};

struct Job {
  std::uint64_t id = 0;
  std::string request_id;
  net::HttpRequest request;  ///< Its url is the raw path and query.
  std::string service;       ///< Resolved name; empty until looked up.
  std::string cell;
  std::uint64_t key_hash = 0;
  kernel::Instant arrived_at;
  kernel::Instant deadline;
  bool idempotent = false;
  bool from_relay = false;  ///< The instance that relayed it does the retries.
  bool retried = false;
  unsigned attempt = 1;
  /// An earlier attempt may have been executed: whatever happens later, the
  /// caller must not be told `not-run`.
  bool possibly_run = false;
  ReplyHandler reply;

  JobState state = JobState::kBackoff;
  kernel::Instant resume_at = kernel::kNever;  ///< With kBackoff.
  std::string server;                          ///< With kQueued and kSent.
  net::TransferId transfer = 0;                ///< With kSent.
  kernel::Instant sent_at = kernel::kNever;    ///< With kSent.
  ownership::RowVersion sent_version;          ///< With kSent.
  net::LinkId link = 0;                        ///< With kRelayed.
  std::uint64_t relay_id = 0;    ///< With kRelayed; new for each attempt.
  net::Address relay_address;    ///< With kRelayed.
  std::uint64_t relay_term = 0;  ///< With kRelayed.
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_JOB_H_
