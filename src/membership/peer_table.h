/// \file
/// Defines the peer table: what one instance knows about the other instances.
///
/// The table does no I/O. It combines two sources: heartbeats, which come
/// directly from the instances, and the platform's list of instances, which
/// lags behind. The state `leaving` on that list takes effect at once. Presence
/// on that list does not prove that an instance is alive. Absence from that
/// list only starts the waiting time after which an instance counts as gone and
/// may be excluded.

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

/// One other instance, in its newest known incarnation.
struct Peer {
  ownership::InstanceId id;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  std::uint64_t manifest_revision = 0;
  bool leaving = false;  ///< Announced its shutdown, or listed as leaving.
  bool listed = false;   ///< On the platform's list of instances.
  kernel::Instant last_contact = kernel::kNever;  ///< Last heartbeat.
};

/// The leader of a cell with the highest term that a heartbeat has reported.
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
  void OnInstanceList(const store::InstanceList& list, kernel::Instant now);

  /// Returns the instances that matter to `cell`: the live candidates of this
  /// failure domain, this instance included, in an order that is the same at
  /// all instances, and the instances that are leaving or gone.
  ownership::Membership MembershipForCell(std::string_view cell,
                                          kernel::Instant now) const;

  /// Returns the leader of `cell`, or nothing if no heartbeat has named it for
  /// longer than `suspect_after`.
  std::optional<CellLeader> FindLeader(std::string_view cell,
                                       kernel::Instant now) const;

  /// Removes `id` as the leader of `cell`. For use when `id` is found not
  /// to lead the cell, contrary to its last heartbeat.
  void RemoveLeader(std::string_view cell, const ownership::InstanceId& id);

  /// Whether this instance is, by name, among the first `readers` live
  /// instances of its failure domain. Only these read the store on behalf of
  /// the others.
  bool IsStoreReader(std::size_t readers, kernel::Instant now) const;

  /// Returns up to `count` addresses to send heartbeats to. Successive calls
  /// cycle through all peers.
  std::vector<net::Address> NextHeartbeatTargets(std::size_t count);

  /// Returns up to `count` peer addresses to include in a heartbeat. Successive
  /// calls cycle through all peers, so that an instance that started without
  /// the platform's list discovers all others.
  std::vector<net::Address> NextKnownPeers(std::size_t count);

  /// Returns the live peer whose manifest (the configuration that operators
  /// publish) has the highest revision above `revision`, or nullptr.
  const Peer* PeerWithNewerManifest(std::uint64_t revision,
                                    kernel::Instant now) const;

  /// Whether `address` is the peer address of a known instance.
  bool HasPeerAddress(const net::Address& address) const;

  /// Returns the peer address of the newest known incarnation of instance
  /// `name`, or an empty address.
  net::Address FindPeerAddress(std::string_view name) const;

  const std::map<std::string, Peer, std::less<>>& Peers() const {
    return this->peers;
  }
  bool SelfLeaving() const { return this->self_leaving; }

 private:
  bool IsLive(const Peer& peer, kernel::Instant now) const;
  void MarkGone(const std::string& name, std::uint64_t incarnation,
                kernel::Instant now);
  void OnListedInstance(const store::ListedInstance& listed,
                        kernel::Instant now);

  ownership::InstanceId self;
  std::string failure_domain;
  kernel::Duration suspect_after;
  bool self_leaving = false;
  std::size_t next_target = 0;
  std::size_t next_known_peer = 0;
  std::map<std::string, Peer, std::less<>> peers;
  /// Instances that the platform's list reported as gone, by name.
  std::map<std::string, ownership::GoneInstance, std::less<>> gone;
  std::map<std::string, CellLeader, std::less<>> leader_by_cell;
};

}  // namespace chervilmux::membership

#endif  // CHERVILMUX_MEMBERSHIP_PEER_TABLE_H_
