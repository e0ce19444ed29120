/// \file
/// Defines how this instance estimates the load and speed of the backend
/// servers of one service, and how it chooses the server for the next request.
///
/// The choice works under normal load and while some servers are slow, fail
/// some of their requests, shed load or do not answer. Instances do not
/// exchange load data: each one estimates a server's load from its own requests
/// in flight, from the load that the server reported in its last answer, and
/// from the latency of answers. It prefers a subset of the servers, of which it
/// hears often.

#ifndef CHERVILMUX_POLICY_SERVER_LOADS_H_
#define CHERVILMUX_POLICY_SERVER_LOADS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"
#include "net/address.h"
#include "policy/cold_admission.h"
#include "policy/evacuation.h"
#include "policy/load_estimate.h"
#include "policy/server_choice.h"
#include "policy/server_notices.h"
#include "policy/server_record.h"
#include "policy/server_subset.h"

namespace chervilmux::policy {

/// This instance's estimates for one server, for the operators' status page.
struct ServerView {
  std::string id;
  net::Address address;
  std::string failure_domain;
  bool draining = false;
  bool evacuated = false;  ///< With its failure domain.
  bool cold = false;       ///< Limited, as it has just started or may have.
  kernel::Duration ejected_for{0};  ///< Remaining time; 0 if not ejected.
  unsigned slots = 0;
  double load = 0;  ///< Estimated requests at the server, of all instances.
  /// Relative to the mean speed of the service's servers, which is 1.
  double relative_speed = 1;
  /// How long work takes on its machine now; 1 is as usual.
  double pace = 1;
};

/// Load estimates and load balancing for the backend servers of one service.
class ServerLoads {
 public:
  explicit ServerLoads(std::string own_failure_domain,
                       const ServerLoadsTuning& tuning = {});

  /// Sets the number of instances that share the servers. `delay_seed` decides
  /// where among them this one returns to a server after its back-off.
  void SetInstances(std::size_t count, std::uint64_t delay_seed);

  /// Sets the place of this instance among those of its failure domain, which
  /// decides the servers that it prefers.
  void SetSubsetPosition(const SubsetPosition& position);

  /// Sets the failure domains whose servers get no further requests. Servers of
  /// a domain whose evacuation has ended may be cold.
  void SetEvacuation(const Evacuation& new_evacuation, kernel::Instant now);

  /// Sets what a cold server may get from all instances together.
  void SetColdLimit(const ColdLimit& limit) { this->cold.SetLimit(limit); }
  /// Sets the instances that may send requests to cold servers.
  void SetColdSenders(std::string self, const InstanceNames& by_domain) {
    this->cold.SetInstances(std::move(self), by_domain);
  }

  /// Replaces the list of the service's servers. The previous list is known to
  /// have been valid until `unchanged_until`; kNever when that is unknown.
  void Update(std::span<const model::BackendServer> servers,
              kernel::Instant unchanged_until, kernel::Instant now);

  /// Chooses the server for the next request, or nothing when every usable
  /// server is full. `tried_servers` lists the servers that already received
  /// this request. `random` returns numbers in [0, 1).
  template <typename Random>
  std::optional<std::string> ChooseServer(
      std::span<const std::string> tried_servers, kernel::Instant now,
      Random&& random) {
    const auto candidates =
        SampleCandidates(this->UsableServers(tried_servers, now), random);
    if (candidates.empty()) return std::nullopt;
    return this->MinCostServer(candidates, now);
  }

  /// Whether the owner `id` of a key can accept another request, in its slots
  /// or its queue. Only what `id` itself has reported counts, and for a short
  /// time: there is no other server to choose, and an owner that gets no
  /// request reports nothing newer.
  bool HasCapacity(std::string_view id, kernel::Instant now) const;

  /// Remaining time for which `id` gets no requests because it was full; zero
  /// when it was not.
  kernel::Duration FullFor(std::string_view id, kernel::Instant now) const;

  /// Nothing when `id` is not listed.
  std::optional<LoadEstimate> EstimateLoad(std::string_view id,
                                           kernel::Instant now) const;

  /// Whether `id` has answered any request since `since`. One that has and
  /// leaves another unanswered is full or slow, not lost.
  bool HasAnsweredSince(std::string_view id, kernel::Instant since) const;

  /// Whether `id` is ejected after failures.
  bool IsEjected(std::string_view id, kernel::Instant now) const;

  /// The time after which `id` gets no requests at all because it drains: by
  /// the list, by its own notice or by the evacuation of its failure domain,
  /// whichever is earliest. Empty when it does not drain; kNever when it may
  /// have drained for any time.
  std::optional<kernel::Instant> DrainDeadline(std::string_view id) const;

  /// Records that an answer of `server` stated that it drains. Returns whether
  /// it was the first such answer.
  bool OnDraining(const ServerRun& server, std::string_view request_id,
                  kernel::Instant now);

  /// Records that an answer of `server` asked for no requests for `time`. This
  /// instance adds a delay if there are more instances than the server has
  /// slots. Returns whether that moved the end of its back-off.
  bool OnBackOff(const ServerRun& server, kernel::Duration time,
                 std::string_view request_id, kernel::Instant now);

  /// Remaining time for which `id` gets no requests because it asked for none;
  /// zero when it gets some.
  kernel::Duration BackOffLeft(std::string_view id, kernel::Instant now) const;

  /// Remaining time until the first of the servers that neither are ejected for
  /// longer nor drain wants requests again; empty when there is none.
  std::optional<kernel::Duration> ShortestBackOffLeft(
      kernel::Instant now) const;

  /// Whether a request that was chosen to go to `server` may still be sent, by
  /// the notices that arrived since. `is_owner`: the request has a key, which
  /// no other server owns.
  bool MaySend(const ServerRun& server, bool is_owner,
               kernel::Instant now) const;

  /// The answer by which `id` gets no requests now; empty when there is none.
  /// `is_owner` as in MaySend().
  std::optional<NoticeSource> FindNotice(std::string_view id, bool is_owner,
                                         kernel::Instant now) const;
  /// The newest answer by which any server gets no requests without a key.
  std::optional<NoticeSource> NewestNotice(kernel::Instant now) const;
  /// Servers that are known to drain by their own notice.
  std::size_t DrainingNotices() const { return this->notices.DrainingCount(); }

  /// Records that this instance sent a request to `id`.
  void OnSent(std::string_view id);
  void OnSent(std::string_view id, kernel::Instant now) {
    this->OnSent(id);
    this->cold.OnSent(id, now);
  }
  /// When the owner `id` of a key may get the next request of this instance, as
  /// far as it is cold.
  kernel::Instant NextSendToOwner(std::string_view id,
                                  kernel::Instant now) const {
    return this->cold.NextSendToOwner(id, now);
  }
  /// Records that no connection to `id` could be established.
  void OnUnreachable(std::string_view id, kernel::Instant now) {
    this->cold.OnUnreachable(id, now);
  }
  /// Whether `id` is cold, or may be, and its requests are limited.
  bool IsCold(std::string_view id, kernel::Instant now) const {
    return this->cold.IsCold(id, now);
  }
  std::size_t ColdCount(kernel::Instant now) const {
    return this->cold.ColdCount(now);
  }
  /// Records the outcome of an attempt at `id`. `reported` is the load in the
  /// answer, if the answer reports one.
  void OnCompletion(std::string_view id, AttemptOutcome end,
                    kernel::Duration latency,
                    const std::optional<ReportedLoad>& reported,
                    kernel::Instant now);

  /// Mean service time of a request at a server that is not overloaded.
  kernel::Duration MeanServiceTime() const {
    return this->estimates.MeanServiceTime();
  }

  /// The estimates for all listed servers, in order of their ids.
  std::vector<ServerView> ServerViews(kernel::Instant now) const;

  /// Total slots of the servers that neither drain nor are ejected nor want no
  /// requests, nor are cold and get theirs from other instances.
  unsigned UsableSlots(kernel::Instant now) const;
  /// Whether there are any such slots.
  bool HasUsableServer(kernel::Instant now) const;

  /// Requests per second that `id` completes with all slots in use; 0 when `id`
  /// is not listed.
  double MaxThroughput(std::string_view id, kernel::Instant now) const;

  /// Speed of `id` relative to the mean of the service, within [0.4, 2.5].
  double RelativeSpeed(std::string_view id, kernel::Instant now) const;

 private:
  /// Marks the servers that this instance prefers in each failure domain.
  void UpdateSubsets();

  UsableServerEntries UsableServers(std::span<const std::string> tried_servers,
                                    kernel::Instant now) const;
  const std::string& MinCostServer(const ServerEntries& candidates,
                                   kernel::Instant now) const;
  /// Whether the slots of `entry` count in UsableSlots().
  bool IsUsable(const ServerEntry& entry, kernel::Instant now) const;
  const DrainNotice* FindDraining(const ServerRecord& server) const;
  /// Whether `server` gets no requests without keys, because it leaves or its
  /// failure domain is evacuated.
  bool IsDraining(const ServerRecord& server) const;
  /// The delay of this instance's first request after the back-off of `server`,
  /// which asked for `time`.
  kernel::Duration BackOffDelay(const ServerRun& server,
                                kernel::Duration time) const;
  /// The end of the time for which `server` gets no requests because it asked
  /// for none.
  kernel::Instant BackOffEnd(const ServerRecord& server) const;
  /// Whether `server` can get a request after its back-off, if it had one.
  bool MayStart(const ServerRecord& server, kernel::Instant now) const;
  bool HasCapacity(const ServerRecord& server, kernel::Instant now) const;
  /// Stops sending requests for the keys of a server that refused one because
  /// it was full, without saying how long it will be.
  void BackOff(ServerRecord& server, kernel::Instant now);
  void RecordFailure(ServerRecord& server, kernel::Instant now);
  void Eject(ServerRecord& server, kernel::Instant now);

  std::string own_failure_domain;
  ServerLoadsTuning tuning;
  LoadEstimator estimates;
  ServerRecords servers;
  ServerNotices notices;
  Evacuation evacuation;
  ColdAdmission cold;
  std::size_t instance_count = 1;
  std::uint64_t delay_seed = 0;
  SubsetPosition subset_position;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_LOADS_H_
