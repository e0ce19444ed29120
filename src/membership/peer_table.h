/// \file
/// Defines the peer table: what one instance knows about the other ones.
///
/// Pure logic over two sources: heartbeats, which are first-hand, and the
/// platform's list, which lags. `leaving` on the list is obeyed at once. The
/// list's presence never proves life, and its absence by itself only starts the
/// clock after which an instance counts as gone for exclusion.

#ifndef CHERVILMUX_MEMBERSHIP_PEER_TABLE_H_
#define CHERVILMUX_MEMBERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "membership/heartbeat.h"
#include "net/address.h"
#include "ownership/cell_events.h"
#include "store/platform.h"

namespace chervilmux::membership {

/// One other instance, in its newest known life.
struct Peer {
  ownership::InstanceId id;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  std::uint64_t manifest_revision = 0;
  bool leaving = false;
  bool listed = false;
  kernel::Instant last_contact = kernel::kNever;
};

/// Where a cell is led, as last heard.
struct CellLeader {
  ownership::InstanceId id;
  net::Address peer_address;
  std::uint64_t term = 0;
  kernel::Instant last_contact = kernel::kNever;
};

class PeerTable {
 public:
  PeerTable(ownership::InstanceId self, std::string failure_domain,
            kernel::Duration suspect_after);

  void OnHeartbeat(const Heartbeat& heartbeat, kernel::Instant now);
  void OnList(const store::InstanceList& list, kernel::Instant now);

  /// Facts about other instances for one cell: live candidates of this failure
  /// domain, this instance included, in an order that all instances share.
  ownership::Membership NeighbourhoodOf(std::string_view cell,
                                        kernel::Instant now) const;

  /// The instance that leads `cell`, unless it has been silent too long.
  std::optional<CellLeader> LeaderOf(std::string_view cell,
                                     kernel::Instant now) const;

  /// Forgets a leader that turned out not to lead.
  void ForgetLeader(std::string_view cell, const ownership::InstanceId& id);

  /// Whether this instance is among the first `readers` live ones of its
  /// failure domain, which read the store on behalf of all.
  bool IsStoreReader(std::size_t readers, kernel::Instant now) const;

  /// Up to `count` peers to send heartbeats to; all of them in turns.
  std::vector<net::Address> HeartbeatTargets(std::size_t count);

  /// Up to `count` addresses of peers to tell others of; all in turns. They let
  /// an instance that started without the platform's list find everybody.
  std::vector<net::Address> Introductions(std::size_t count);

  /// The live peer with the highest manifest revision above `revision`.
  const Peer* PeerWithNewerManifest(std::uint64_t revision,
                                    kernel::Instant now) const;

  /// Whether `address` is the peer address of a known instance.
  bool KnowsAddress(const net::Address& address) const;

  /// Address of an instance's current life, or an empty one.
  net::Address AddressOf(std::string_view name) const;

  const std::map<std::string, Peer, std::less<>>& Peers() const {
    return this->peers;
  }
  bool SelfLeaving() const { return this->self_leaving; }

 private:
  bool Live(const Peer& peer, kernel::Instant now) const;
  void MarkGone(const std::string& name, std::uint64_t incarnation,
                kernel::Instant now);
  void OnListed(const store::ListedInstance& listed, kernel::Instant now);

  ownership::InstanceId self;
  std::string failure_domain;
  kernel::Duration suspect_after;
  bool self_leaving = false;
  std::size_t next_target = 0;
  std::size_t next_introduction = 0;
  std::map<std::string, Peer, std::less<>> peers;
  std::map<std::string, ownership::GoneInstance, std::less<>> gone;
  std::map<std::string, CellLeader, std::less<>> leaders;
};

}  // namespace chervilmux::membership

#endif  // CHERVILMUX_MEMBERSHIP_PEER_TABLE_H_
