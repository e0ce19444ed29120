/// \file
/// Defines which instances follow the store, and whom the others ask.
///
/// Answers the price of calls to the store: one instance of each failure domain
/// follows it for the others. Nobody trusts a reader by its role: knowledge has
/// an age, counted from the proof of the table that was proved longest ago, and
/// an instance whose knowledge grows old follows the store itself. So it does
/// not matter which readers the store turns away, or whose calls hang without a
/// sign.

#ifndef CHERVILMUX_NODE_STORE_READERS_H_
#define CHERVILMUX_NODE_STORE_READERS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/time.h"
#include "node/peer_message.h"

namespace chervilmux::node {

using InstancesByName = std::map<std::string, InstanceRecord, std::less<>>;

class StoreReaders {
 public:
  explicit StoreReaders(InstanceRecord self) : self(std::move(self)) {}

  void SetInstances(InstancesByName known) {
    this->instances = std::move(known);
  }
  const InstancesByName& Instances() const { return this->instances; }

  /// Peer addresses of the settings, which may be stale.
  void SetSeeds(std::vector<std::string> addresses) {
    this->seeds = std::move(addresses);
  }

  /// Takes note of an instance that has called this one: the store may not have
  /// listed it yet. Returns whether that is news.
  bool OnHeardFrom(const InstanceRecord& peer);

  /// Instances that lead the owners of a service. They follow the store in any
  /// case, so they do it for their failure domains too.
  void SetLeaders(std::set<std::string, std::less<>> names) {
    this->leaders = std::move(names);
  }

  /// All copies of tables that must be fresh were the whole tables at `at`.
  void NoteKnownAsOf(kernel::Instant at);
  /// A peer did not answer.
  void OnPeerSilent(const std::string& address, kernel::Instant now);

  /// Time since the last NoteKnownAsOf(); nothing before the first proof.
  std::optional<kernel::Duration> KnowledgeAge(kernel::Instant now) const;

  /// The address of the instance from which this one hears of the leaders, so
  /// that a leader does not hear from all. Empty when it asks them itself: it
  /// reads for its failure domain, or instances are few.
  std::string LeaderSource(kernel::Instant now) const;

  /// Whether this instance should follow the store.
  bool Follows(kernel::Instant now) const;

  /// The address of a peer or a seed, each as likely as any other; nothing if
  /// none is known. `random` picks among them.
  std::optional<std::string> AnyPeer(std::uint64_t random) const;

  /// Addresses of the peers to ask for news. `random` picks among them.
  std::vector<std::string> Sources(kernel::Instant now,
                                   std::uint64_t random) const;

 private:
  const InstanceRecord* ReaderOf(std::string_view failure_domain,
                                 kernel::Instant now) const;
  /// Whether `record` reads for its failure domain rather than `other`.
  bool ReadsRather(const InstanceRecord& record,
                   const InstanceRecord& other) const;
  bool IsSilent(const InstanceRecord& record, kernel::Instant now) const;
  bool KnowledgeIsOld(kernel::Instant now) const;

  InstanceRecord self;
  InstancesByName instances;
  std::vector<std::string> seeds;
  std::set<std::string, std::less<>> leaders;
  /// Until when a peer that did not answer is passed over, by address.
  std::map<std::string, kernel::Instant, std::less<>> silent_until;
  kernel::Instant known_as_of = kernel::kNever;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_STORE_READERS_H_
