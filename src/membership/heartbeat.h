/// \file
/// Defines the datagrams between instances: heartbeats and the messages of a
/// cell's pair.

#ifndef CHERVILMUX_MEMBERSHIP_HEARTBEAT_H_
#define CHERVILMUX_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/error.h"
#include "net/address.h"
#include "ownership/cell_events.h"

namespace chervilmux::membership {

/// A cell that the sender leads, and under which term.
struct LedCell {
  std::string cell;
  std::uint64_t term = 0;
};

/// Periodic sign of life. Bounded: it lists only what the sender leads.
struct Heartbeat {
  ownership::InstanceId from;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  std::uint64_t manifest_revision = 0;
  bool stopping = false;
  std::vector<net::Address> known_peers;  ///< Peer addresses of others.
  std::vector<LedCell> leads;
};

/// A message between the instances of one cell.
struct CellDatagram {
  std::string cell;
  net::Address reply_to;  ///< Peer address of the sender.
  ownership::PeerMessage message;
};

using PeerDatagram = std::variant<Heartbeat, CellDatagram>;

std::string Encode(const PeerDatagram& datagram);

/// Errors: kMessageMalformed.
kernel::Result<PeerDatagram> Decode(std::string_view bytes);

}  // namespace chervilmux::membership

#endif  // CHERVILMUX_MEMBERSHIP_HEARTBEAT_H_
