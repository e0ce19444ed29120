/// \file
/// Defines how this instance judges the backend servers of one service, and
/// which of them gets the next request.
///
/// Answers the load of ordinary days and of days on which some servers are
/// slow, fail part of their requests, refuse, or do not answer at all. No
/// instance asks another one: each estimates a server's load from its own
/// requests in flight, from the load that the server told in its last answer,
/// and from the latency seen.

#ifndef CHERVILMUX_POLICY_SERVER_LOADS_H_
#define CHERVILMUX_POLICY_SERVER_LOADS_H_

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

namespace chervilmux::policy {

/// What a server said of its load in an answer.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;

  bool HasFreeSlot() const {
    return this->running + this->waiting < this->slots;
  }
};

/// How an attempt at a server ended, as far as it says something of the server.
enum class AttemptOutcome : std::uint8_t {
  kServed,       ///< A genuine answer other than a server error.
  kServerError,  ///< It ran the request and failed.
  kShed,         ///< It refused for load.
  kUnreachable,  ///< No connection came about.
  kBroken,       ///< The connection failed, or the answer was unusable.
  kSilent,       ///< No answer by the deadline.
  kAbandoned,    ///< The caller left first; says nothing.
};

/// How this instance sees a server, for operators.
struct ServerView {
  std::string id;
  net::Address address;
  std::string failure_domain;
  bool draining = false;
  kernel::Duration ejected_for{0};  ///< Zero when it is in use.
  unsigned slots = 0;
  double load = 0;  ///< Estimated requests at the server, of all instances.
  double relative_speed = 1;  ///< Of the mean of its service.
};

struct ServerLoadsTuning {
  /// Weight of the newest latency in the moving average.
  double latency_gain = 0.15;
  /// After this time without news a told load counts a third.
  kernel::Duration told_half_life = kernel::milliseconds(400);
  /// Requests beyond the slots that may wait at a server, per slot.
  double waiting_per_slot = 1.2;
  /// Added to the expected time at a server of another failure domain, in its
  /// work times: bytes between failure domains are dear. Objectives are about
  /// three work times, so a request leaves its domain when it would be late
  /// there.
  double cross_domain_penalty = 2.5;
  /// How long a server that cannot be reached is left alone at first.
  kernel::Duration first_set_aside = kernel::milliseconds(600);
  kernel::Duration longest_set_aside = kernel::seconds(4);
  /// Share of failed attempts above which a server is set aside.
  double failure_share_limit = 0.35;
  /// A new server counts as slower by this factor until it is warm.
  double cold_factor = 2.0;
  /// At most this share of a service's servers is set aside at a time.
  double set_aside_limit = 0.5;
};

class ServerLoads {
 public:
  explicit ServerLoads(std::string own_failure_domain,
                       const ServerLoadsTuning& tuning = {});

  /// Takes in the list of the service's servers. The list before is known to
  /// have been right until `unchanged_until`; kNever when that is unknown.
  void Update(std::span<const model::BackendServer> servers,
              kernel::Instant unchanged_until, kernel::Instant now);

  /// The server that should get the next request, or nothing when each usable
  /// one is full. `tried` lists servers that this request has been to.
  /// `random` gives numbers in [0, 1).
  template <typename Random>
  std::optional<std::string> ChooseServer(std::span<const std::string> tried,
                                          kernel::Instant now,
                                          Random&& random) {
    Usable usable = this->UsableServers(tried, now);
    // A few random candidates: with all of them, instances that hear the same
    // old news would pick the same server at once.
    constexpr std::size_t kNear = 3;
    constexpr std::size_t kFar = 2;
    KeepRandom(usable.near, kNear, random);
    KeepRandom(usable.far, kFar, random);
    usable.near.insert(usable.near.end(), usable.far.begin(), usable.far.end());
    if (usable.near.empty()) return std::nullopt;
    return this->Quickest(usable.near, now);
  }

  /// Whether `id` has room for another request.
  bool HasCapacity(std::string_view id, kernel::Instant now) const;

  /// Whether `id` is set aside after failures.
  bool IsEjected(std::string_view id, kernel::Instant now) const;

  /// For how long `id` may have been draining; zero when it does not.
  kernel::Duration MaxDrainingTime(std::string_view id,
                                   kernel::Instant now) const;

  void OnSent(std::string_view id);
  void OnCompletion(std::string_view id, AttemptOutcome end,
                    kernel::Duration latency,
                    const std::optional<ReportedLoad>& told,
                    kernel::Instant now);

  /// Mean time that a request of this service takes at a server with room.
  kernel::Duration WorkTime() const;

  /// All listed servers, by id.
  std::vector<ServerView> Views(kernel::Instant now) const;

  /// Slots of all usable servers.
  unsigned Slots(kernel::Instant now) const;

  /// Requests per second that `id` gets done with all slots in use; 0 when it
  /// is not listed.
  double MaxThroughput(std::string_view id, kernel::Instant now) const;

  /// How fast `id` works relative to the mean, within [0.4, 2.5].
  double RelativeSpeed(std::string_view id, kernel::Instant now) const;

 private:
  struct Server {
    model::BackendServer listed;
    unsigned in_flight = 0;  ///< Sent by this instance, not answered.
    double others_told = 0;  ///< Requests of other instances at `told_at`.
    kernel::Instant told_at = kernel::kNever;
    double work_s = 0;  ///< Moving average; 0 before the first answer.
    kernel::Instant work_at = kernel::kNever;
    double lasting_work_s = 0;  ///< The same, but old answers count on.
    unsigned answers = 0;       ///< Behind `lasting_work_s`.
    double failure_share = 0;   ///< Moving average over attempts.
    kernel::Instant failed_at = kernel::kNever;  ///< Last failed attempt.
    unsigned failures_in_row = 0;
    kernel::Instant set_aside_until = kernel::kNever;
    kernel::Instant warm_at = kernel::kNever;
    /// The earliest moment; kNever with `listed.draining`: unknown.
    kernel::Instant draining_since = kernel::kNever;
  };

  /// Servers with room, in the own failure domain and in others.
  struct Usable {
    std::vector<std::string> near;
    std::vector<std::string> far;
  };

  template <typename Random>
  static void KeepRandom(std::vector<std::string>& ids, std::size_t count,
                         Random&& random) {
    for (std::size_t i = 0; i < ids.size() && i < count; ++i) {
      const auto span = static_cast<double>(ids.size() - i);
      const auto pick = i + static_cast<std::size_t>(random() * span);
      std::swap(ids[i], ids[pick]);
    }
    if (ids.size() > count) ids.resize(count);
  }

  Usable UsableServers(std::span<const std::string> tried,
                       kernel::Instant now) const;
  std::string Quickest(std::span<const std::string> ids,
                       kernel::Instant now) const;
  double Load(const Server& server, kernel::Instant now) const;
  double AgedWork(const Server& server, kernel::Instant now) const;
  double Work(const Server& server, kernel::Instant now) const;
  double AgedFailureShare(const Server& server, kernel::Instant now) const;
  double Expected(const Server& server, kernel::Instant now) const;
  bool HasCapacity(const Server& server, kernel::Instant now) const;
  void NoteFailure(Server& server, kernel::Instant now);
  void SetServerAside(Server& server, kernel::Instant now);

  std::string own_failure_domain;
  ServerLoadsTuning tuning;
  std::map<std::string, Server, std::less<>> servers;
  double mean_work_s = 0;           ///< Over all servers.
  double mean_others_per_slot = 0;  ///< Over all servers.
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_LOADS_H_
