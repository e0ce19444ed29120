/// \file
/// Defines how the load, the speed and the reliability of a backend server are
/// estimated from what was recorded of it.
///
/// Each estimate decays with the age of its record: towards the mean of the
/// service for load and service time, towards "as usual" for the pace of the
/// server's machine, so that a server that recovers is tried again.

#ifndef CHERVILMUX_POLICY_LOAD_ESTIMATE_H_
#define CHERVILMUX_POLICY_LOAD_ESTIMATE_H_

#include <optional>

#include "kernel/time.h"
#include "policy/server_record.h"

namespace chervilmux::policy {

/// What a decision about one server was based on, for the log.
struct LoadEstimate {
  /// Estimated requests at the server, of all instances.
  double requests = 0;
  unsigned in_flight = 0;  ///< Of this instance.
  /// Time since the server last reported its load; empty if it never did.
  std::optional<kernel::Duration> report_age;
  /// Estimated pace of the server's machine now; 1 is as usual.
  double pace = 1;
};

/// Estimates for the servers of one service, and their means over the service.
class LoadEstimator {
 public:
  explicit LoadEstimator(const ServerLoadsTuning& tuning) : tuning(tuning) {}

  /// Records the load that `server` reported.
  void OnReport(ServerRecord& server, const ReportedLoad& reported,
                kernel::Instant now);
  /// Records that `server` answered a request `latency` after it was sent,
  /// while it had `oversubscription` requests for each slot.
  void OnServed(ServerRecord& server, kernel::Duration latency,
                double oversubscription, double pace, kernel::Instant now);

  /// Requests at `server`, of all instances.
  double Load(const ServerRecord& server, kernel::Instant now) const;
  /// Requests of other instances at `server`, by its own fresh reports only.
  double ReportedLoadOfOthers(const ServerRecord& server,
                              kernel::Instant now) const;
  /// Requests at `server` for each slot; at least 1.
  double Oversubscription(const ServerRecord& server,
                          kernel::Instant now) const;
  /// The load at which `server` counts as full. Fewer requests wait at a server
  /// whose machine is slow now.
  double MaxLoad(const ServerRecord& server, kernel::Instant now) const;
  /// How long work takes on the machine of `server` now; 1 is as usual.
  double Pace(const ServerRecord& server, kernel::Instant now) const;
  /// Service time in seconds at a pace of 1, without warm-up.
  double AgedServiceTime(const ServerRecord& server, kernel::Instant now) const;
  /// The same with warm-up.
  double ServiceTime(const ServerRecord& server, kernel::Instant now) const;
  /// Time in seconds until `server` would answer one more request.
  double ExpectedLatency(const ServerRecord& server, kernel::Instant now) const;
  /// Speed relative to the mean of the service, within [0.4, 2.5], without the
  /// pace of the moment.
  double RelativeSpeed(const ServerRecord& server, kernel::Instant now) const;
  /// Requests per second that `server` completes now with all slots in use.
  double MaxThroughput(const ServerRecord& server, kernel::Instant now) const;
  /// Mean service time of a request at a server that is not overloaded.
  kernel::Duration MeanServiceTime() const;

  LoadEstimate Describe(const ServerRecord& server, kernel::Instant now) const;

 private:
  /// Weight of the load that `server` last reported.
  double ReportWeight(const ServerRecord& server, kernel::Instant now) const;
  /// Mean load that other instances cause at `server`, by all recent reports of
  /// the service.
  double MeanOtherLoad(const ServerRecord& server, kernel::Instant now) const;
  double AgedFailureShare(const ServerRecord& server,
                          kernel::Instant now) const;

  ServerLoadsTuning tuning;
  double mean_service_time_s = 0;  ///< Over all servers.
  /// Mean of `other_instances_load` per slot, over all servers.
  double mean_other_load_per_slot = 0;
  kernel::Instant mean_other_load_at = kernel::kNever;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_LOAD_ESTIMATE_H_
