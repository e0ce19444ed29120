/// \file
/// Defines a job: the state of one request that this instance handles, either
/// for a caller or for another instance that relayed it.

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

/// Receives the only reply to a job. Always runs on the router task's thread,
/// whichever thread submitted the job.
using ReplyHandler = std::function<void(Reply)>;

/// Progress of a job.
enum class JobState : std::uint8_t {
  kBackoff,   ///< Waits for its next attempt.
  kDeferred,  ///< Waits at the primary until its key has a settled owner.
  kQueued,    ///< Waits at the primary for a slot of its backend server.
  kSent,      ///< Sent to its backend server.
  kRelayed,   ///< Relayed to the primary of its cell.
};

struct Job {
  std::uint64_t id = 0;
  std::string request_id;
  net::HttpRequest request;  ///< `url` is the raw path and query.
  std::string service;       ///< Resolved name; empty until resolved.
  std::string cell;
  std::uint64_t key_hash = 0;
  kernel::Instant arrived_at;
  kernel::Instant deadline;
  bool idempotent = false;
  /// Another instance relayed the request and does the retries.
  bool from_relay = false;
  bool retried = false;
  unsigned attempt = 1;
  /// An earlier attempt may have been executed, so the caller must not
  /// receive the outcome `not-run`.
  bool possibly_run = false;
  ReplyHandler reply;

  JobState state = JobState::kBackoff;
  kernel::Instant retry_at = kernel::kNever;  ///< Valid in state kBackoff.
  std::string server;  ///< Valid in states kQueued and kSent.
  /// Valid in state kSent: id of the HTTP transfer to `server`.
  net::TransferId transfer = 0;
  kernel::Instant sent_at = kernel::kNever;  ///< Valid in state kSent.
  /// Valid in state kSent: version of the cell row that made `server` the
  /// owner.
  ownership::RowVersion sent_version;
  /// Valid in state kRelayed: link to the instance that the job was relayed to.
  net::LinkId link = 0;
  /// Valid in state kRelayed: id of the RelayRequest; new for each attempt.
  std::uint64_t relay_id = 0;
  /// Valid in state kRelayed: peer address of the instance that the job was
  /// relayed to, the primary of the cell.
  net::Address relay_address;
  /// Valid in state kRelayed: term in which that instance leads the cell.
  std::uint64_t relay_term = 0;
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_JOB_H_
