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
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"
#include "net/address.h"
#include "policy/server_notices.h"
#include "policy/server_subset.h"

namespace chervilmux::policy {

/// The load that a server reported in an answer, in requests.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;

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

/// This instance's estimates for one server, for the operators' status page.
struct ServerView {
  std::string id;
  net::Address address;
  std::string failure_domain;
  bool draining = false;
  kernel::Duration ejected_for{0};  ///< Remaining time; 0 if not ejected.
  unsigned slots = 0;
  double load = 0;  ///< Estimated requests at the server, of all instances.
  /// Relative to the mean speed of the service's servers, which is 1.
  double relative_speed = 1;
};

/// What a decision about one server was based on, for the log.
struct LoadEstimate {
  /// Estimated requests at the server, of all instances.
  double requests = 0;
  unsigned in_flight = 0;  ///< Of this instance.
  /// Time since the server last reported its load; empty if it never did.
  std::optional<kernel::Duration> report_age;
};

struct ServerLoadsTuning {
  /// Weight of the newest latency in the moving average.
  double latency_gain = 0.15;
  /// The weight of a reported load halves whenever this time has passed.
  kernel::Duration reported_load_half_life = kernel::milliseconds(400);
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
    UsableServerIds usable_servers = this->UsableServers(tried_servers, now);
    // The choice is among a few random candidates: instances that share the
    // same stale load reports would otherwise all choose the same server.
    constexpr std::size_t kPreferredCandidateCount = 3;
    constexpr std::size_t kOtherCandidateCount = 2;
    std::vector<std::string> candidates;
    const auto add_sample = [&](std::vector<std::string>& ids,
                                std::size_t count) {
      KeepRandomSample(ids, count, random);
      candidates.insert(candidates.end(), ids.begin(), ids.end());
    };
    add_sample(usable_servers.preferred_local, kPreferredCandidateCount);
    add_sample(usable_servers.other_local, kOtherCandidateCount);
    const bool has_preferred = !usable_servers.preferred_remote.empty();
    add_sample(has_preferred ? usable_servers.preferred_remote
                             : usable_servers.other_remote,
               kOtherCandidateCount);
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
  /// the list or by its own notice, whichever is earlier. Empty when it does
  /// not drain; kNever when it may have drained for any time.
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
  /// Records the outcome of an attempt at `id`. `reported` is the load in the
  /// answer, if the answer reports one.
  void OnCompletion(std::string_view id, AttemptOutcome end,
                    kernel::Duration latency,
                    const std::optional<ReportedLoad>& reported,
                    kernel::Instant now);

  /// Mean service time of a request at a server that is not overloaded.
  kernel::Duration MeanServiceTime() const;

  /// The estimates for all listed servers, in order of their ids.
  std::vector<ServerView> ServerViews(kernel::Instant now) const;

  /// Total slots of the servers that neither drain nor are ejected nor want no
  /// requests.
  unsigned UsableSlots(kernel::Instant now) const;

  /// Requests per second that `id` completes with all slots in use; 0 when `id`
  /// is not listed.
  double MaxThroughput(std::string_view id, kernel::Instant now) const;

  /// Speed of `id` relative to the mean of the service, within [0.4, 2.5].
  double RelativeSpeed(std::string_view id, kernel::Instant now) const;

 private:
  struct Server {
    model::BackendServer listed;
    /// Requests that this instance sent and that have not ended.
    unsigned in_flight = 0;
    /// Requests of other instances at the server, according to the load that
    /// the server reported at `reported_at`.
    double other_instances_load = 0;
    kernel::Instant reported_at = kernel::kNever;
    /// The server was full and gets no requests for its keys before this time.
    kernel::Instant full_until = kernel::kNever;
    kernel::Duration full_backoff{0};
    double service_time_s = 0;  ///< Moving average; 0 before the first answer.
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

  /// Ids of the servers that can accept a request: those in this instance's
  /// failure domain, and those in others.
  struct UsableServerIds {
    std::vector<std::string> preferred_local;
    std::vector<std::string> other_local;
    std::vector<std::string> preferred_remote;
    std::vector<std::string> other_remote;
  };

  /// Marks the servers that this instance prefers in each failure domain.
  void UpdateSubsets();

  template <typename Random>
  static void KeepRandomSample(std::vector<std::string>& ids, std::size_t count,
                               Random&& random) {
    for (std::size_t i = 0; i < ids.size() && i < count; ++i) {
      const auto remaining = static_cast<double>(ids.size() - i);
      const auto pick = i + static_cast<std::size_t>(random() * remaining);
      std::swap(ids[i], ids[pick]);
    }
    if (ids.size() > count) ids.resize(count);
  }

  UsableServerIds UsableServers(std::span<const std::string> tried_servers,
                                kernel::Instant now) const;
  std::string MinCostServer(std::span<const std::string> ids,
                            kernel::Instant now) const;
  const DrainNotice* FindDraining(const Server& server) const;
  bool IsDraining(const Server& server) const;
  /// The delay of this instance's first request after the back-off of `server`,
  /// which asked for `time`.
  kernel::Duration BackOffDelay(const ServerRun& server,
                                kernel::Duration time) const;
  /// The end of the time for which `server` gets no requests because it asked
  /// for none.
  kernel::Instant BackOffEnd(const Server& server) const;
  /// Whether `server` can get a request after its back-off, if it had one.
  bool MayStart(const Server& server, kernel::Instant now) const;
  double EstimatedLoad(const Server& server, kernel::Instant now) const;
  double AgedServiceTime(const Server& server, kernel::Instant now) const;
  double ServiceTime(const Server& server, kernel::Instant now) const;
  double AgedFailureShare(const Server& server, kernel::Instant now) const;
  double ExpectedLatency(const Server& server, kernel::Instant now) const;
  bool HasCapacity(const Server& server, kernel::Instant now) const;
  /// The load at which a server counts as full.
  double MaxLoad(const Server& server) const;
  /// Weight of the load that `server` last reported.
  double ReportWeight(const Server& server, kernel::Instant now) const;
  /// Mean load that other instances cause at `server`, by all recent reports of
  /// the service.
  double MeanOtherLoad(const Server& server, kernel::Instant now) const;
  /// Stops sending requests for the keys of a server that refused one because
  /// it was full, without saying how long it will be.
  void BackOff(Server& server, kernel::Instant now);
  void RecordFailure(Server& server, kernel::Instant now);
  void Eject(Server& server, kernel::Instant now);

  std::string own_failure_domain;
  ServerLoadsTuning tuning;
  std::map<std::string, Server, std::less<>> servers;
  ServerNotices notices;
  std::size_t instance_count = 1;
  std::uint64_t delay_seed = 0;
  SubsetPosition subset_position;
  double mean_service_time_s = 0;  ///< Over all servers.
  /// Mean of `other_instances_load` per slot, over all servers.
  double mean_other_load_per_slot = 0;
  kernel::Instant mean_other_load_at = kernel::kNever;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_LOADS_H_
