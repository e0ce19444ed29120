/// \file
/// Defines which requests a cold backend server gets from this instance.
///
/// A server that has just started is slow, and falls over when it gets far more
/// requests than it bears. The bound holds for all instances together, which do
/// not agree on who sends what. So each cold server has a few senders, chosen
/// by rendezvous hashing among the instances of its failure domain, and each
/// sender has a fixed share of half of the bound. Twice as many senders,
/// because instances know different lists of each other, still keep to the
/// bound, and a lost sender only leaves its share unused. Where a failure
/// domain has no instance, the senders are chosen among all.
///
/// A server that could not be reached counts as cold until it has been heard
/// for as long as servers are cold, because it may have started anew before the
/// list of servers says so. Where half of a failure domain could not be
/// reached, all its servers count as cold.

#ifndef CHERVILMUX_POLICY_COLD_ADMISSION_H_
#define CHERVILMUX_POLICY_COLD_ADMISSION_H_

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

namespace chervilmux::policy {

/// What a cold server of a service may get.
struct ColdLimit {
  /// Requests in any second, from all instances together; 0: not limited.
  double requests_per_second = 0;
  kernel::Duration cold_time{0};  ///< From the start of a server.

  bool IsSet() const { return this->requests_per_second > 0; }
  bool operator==(const ColdLimit&) const = default;
};

/// How the bound is divided: so many senders, each with so many requests in any
/// second.
struct ColdShares {
  std::size_t senders = 0;
  std::size_t requests_per_sender = 0;
};
ColdShares DivideColdLimit(double requests_per_second);

/// The names of all instances by failure domain.
using InstanceNames =
    std::map<std::string, std::vector<std::string>, std::less<>>;

/// Whether `self` is one of the `senders` of `server` among `instances`, whose
/// order does not matter.
bool IsColdSender(std::string_view server, std::string_view self,
                  std::span<const std::string> instances, std::size_t senders);

class ColdAdmission {
 public:
  void SetLimit(const ColdLimit& new_limit);
  /// Sets who may be a sender. `self` is the name of this instance.
  void SetInstances(std::string self, InstanceNames by_domain);

  /// Replaces the list of servers. A server that was not listed before with the
  /// same incarnation, or states another time, is cold for the time it states.
  /// A cold one whose entry is gone is remembered while it is cold: its entry
  /// may have lapsed for a moment.
  void OnListed(std::span<const model::BackendServer> servers,
                kernel::Instant now);
  /// All servers of `domain` may be cold from `now` on.
  void OnDomainMayBeCold(std::string_view domain, kernel::Instant now);
  /// No connection to `id` could be established.
  void OnUnreachable(std::string_view id, kernel::Instant now);
  void OnAnswered(std::string_view id, kernel::Instant now);

  /// Whether `id` is or may be cold.
  bool IsCold(std::string_view id, kernel::Instant now) const;
  /// Whether this instance may send `id` a request now.
  bool MaySend(std::string_view id, kernel::Instant now) const;
  /// Whether this instance sends `id` requests at all: always, unless it is
  /// cold and others are its senders.
  bool IsServedHere(std::string_view id, kernel::Instant now) const;
  /// When this instance may send the next request to the owner `id` of a key,
  /// which no other server can take. A server that is only suspected is not
  /// limited: one that has started anew owns no keys.
  kernel::Instant NextSendToOwner(std::string_view id,
                                  kernel::Instant now) const;
  void OnSent(std::string_view id, kernel::Instant now);

  std::size_t ColdCount(kernel::Instant now) const;

 private:
  struct Server {
    std::string failure_domain;
    std::uint64_t life = 0;
    kernel::Duration stated_warm_up{0};
    kernel::Instant cold_until = kernel::kNever;
    /// Until when it is cold by its own entry.
    kernel::Instant stated_cold_until = kernel::kNever;
    /// The next request for a key that it owns.
    kernel::Instant next_to_owner = kernel::kNever;
    /// It may have started anew, and has not been heard since.
    bool is_suspected = false;
    bool is_listed = true;
    /// Empty until it is needed: all instances of the domain are ranked for it.
    mutable std::optional<bool> is_sender;
    std::vector<kernel::Instant> sent_at;  ///< Within the last second.
  };

  const Server* Find(std::string_view id) const;
  Server* Find(std::string_view id);
  /// Null when `id` is not cold.
  const Server* FindCold(std::string_view id, kernel::Instant now) const;
  bool IsSender(const Server& server, std::string_view id) const;
  void ForgetSenders();
  void SetColdUntil(Server& server, kernel::Instant until);
  /// Time between two requests of one instance to a cold owner of keys, so that
  /// all instances together use the same share of the bound as senders do.
  kernel::Duration OwnerPeriod() const;
  void SuspectDomain(std::string_view domain, kernel::Instant until);

  ColdLimit limit;
  ColdShares shares;
  std::string self;
  InstanceNames instances;
  std::vector<std::string> all_instances;
  /// No server is cold from then on.
  kernel::Instant any_cold_until = kernel::kNever;
  std::map<std::string, Server, std::less<>> servers;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_COLD_ADMISSION_H_
