/// \file
/// Defines what this instance records of each backend server of a service, and
/// the parameters by which it estimates load and chooses servers.

#ifndef CHERVILMUX_POLICY_SERVER_RECORD_H_
#define CHERVILMUX_POLICY_SERVER_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "model/backend_server.h"

namespace chervilmux::policy {

/// The load that a server reported in an answer, in requests.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  /// How long work takes on the server's machine at this moment, relative to
  /// what is usual there. It changes many times a second.
  double pace = 1;

  bool HasFreeSlot() const {
    return this->running + this->waiting < this->slots;
  }
};

/// How an attempt at a server ended, as far as it indicates the state of the
/// server.
enum class AttemptOutcome : std::uint8_t {
  kServed,       ///< A usable answer other than a server error.
  kServerError,  ///< The server ran the request and failed.
  kShed,         ///< The server refused the request for overload.
  kUnreachable,  ///< No connection could be established.
  kBroken,       ///< The connection failed, or the answer was unusable.
  kTimedOut,     ///< No answer by the deadline.
  kBackOff,      ///< The server asked for no requests for a while.
  /// The server reset or closed a new connection without sending a byte. A
  /// server whose queue or connections are full does so.
  kReset,
  /// Indicates nothing about the server, for example because the caller
  /// disconnected first.
  kInconclusive,
};

/// The name of `outcome` in log lines.
std::string_view NameOf(AttemptOutcome outcome);

struct ServerLoadsTuning {
  /// Weight of the newest latency in the moving average.
  double latency_gain = 0.15;
  /// The weight of a reported load halves whenever this time has passed.
  kernel::Duration reported_load_half_life = kernel::milliseconds(400);
  /// The same for the pace of the server's machine, which changes sooner.
  kernel::Duration pace_half_life = kernel::milliseconds(200);
  /// Longest time for which the owner of a key gets no requests after it
  /// refused one. The time doubles with each further refusal, so that the
  /// requests of any number of instances adapt to what the owner can serve.
  kernel::Duration max_full_backoff = kernel::milliseconds(1600);
  /// Maximum number of requests that wait at a server, per slot.
  double max_waiting_per_slot = 1.2;
  /// Added to the expected latency at a server of another failure domain, in
  /// service times of that server, because cross-domain traffic is expensive.
  /// Latency objectives are about three service times, so a request is sent to
  /// another domain only if it would be late in its own.
  double cross_domain_penalty = 2.5;
  /// The same for a server of the own domain that this instance does not
  /// prefer: it takes a new connection, and its load is hardly known.
  double not_preferred_penalty = 0.5;
  /// Ejection time after one failure; it doubles with each further failure in a
  /// row, up to `max_ejection_time`.
  kernel::Duration base_ejection_time = kernel::milliseconds(600);
  kernel::Duration max_ejection_time = kernel::seconds(4);
  /// Share of failed attempts above which a server is ejected.
  double max_failure_share = 0.35;
  /// The estimated service time of a server is multiplied by this while the
  /// server warms up.
  double warm_up_slowdown = 2.0;
  /// Maximum share of a service's servers that are ejected at the same time.
  double max_ejected_share = 0.5;
};

/// What this instance knows of one server, from its own requests.
struct ServerRecord {
  model::BackendServer listed;
  /// Requests that this instance sent and that have not ended.
  unsigned in_flight = 0;
  /// Requests of other instances at the server, according to the load that
  /// the server reported at `reported_at`.
  double other_instances_load = 0;
  kernel::Instant reported_at = kernel::kNever;
  double pace = 1;  ///< As last reported, at `pace_at`.
  kernel::Instant pace_at = kernel::kNever;
  /// The server was full and gets no requests for its keys before this time.
  kernel::Instant full_until = kernel::kNever;
  kernel::Duration full_backoff{0};
  /// Moving average at a pace of 1; 0 before the first answer.
  double service_time_s = 0;
  kernel::Instant service_time_at = kernel::kNever;
  double long_term_service_time_s = 0;  ///< Does not decay with time.
  unsigned answer_count = 0;            ///< Answers in the long-term average.
  double failure_share = 0;             ///< Moving average over attempts.
  kernel::Instant last_failed_at = kernel::kNever;
  unsigned consecutive_failures = 0;
  kernel::Instant last_answered_at = kernel::kNever;
  kernel::Instant ejected_until = kernel::kNever;
  kernel::Instant warm_up_until = kernel::kNever;
  bool is_preferred = true;  ///< In this instance's subset of its domain.
  /// The earliest possible start of draining; kNever while draining means
  /// that the start is unknown.
  kernel::Instant draining_since = kernel::kNever;
};

using ServerRecords = std::map<std::string, ServerRecord, std::less<>>;

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_RECORD_H_
