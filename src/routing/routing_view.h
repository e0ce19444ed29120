/// \file
/// Defines the view: what the control task tells the router task.
///
/// Immutable. The control task sends a new one when something changed; between
/// two views the router judges by the deadlines that a view carries.

#ifndef CHERVILMUX_ROUTING_ROUTING_VIEW_H_
#define CHERVILMUX_ROUTING_ROUTING_VIEW_H_

#include <map>
#include <memory>
#include <string>

#include "config/manifest_keeper.h"
#include "kernel/time.h"
#include "membership/peer_table.h"
#include "net/address.h"
#include "ownership/placement.h"
#include "ownership/row.h"

namespace chervilmux::routing {

/// A server of a cell that this instance leads.
struct ServerView {
  net::Address address;
  unsigned slots = 1;
  kernel::Instant send_until = kernel::kNever;
  ownership::Token token;
  bool in = false;    ///< Owns keys under the newest row.
  bool lost = false;  ///< Was set aside because it does not answer.
};

/// A cell that this instance leads.
struct LedCellView {
  ownership::RowVersion version;  ///< Of the newest row.
  ownership::RowVersion serving_version;
  std::shared_ptr<const ownership::Placement> serving;
  std::shared_ptr<const ownership::Placement> next;  ///< While owners change.
  std::map<std::string, ServerView, std::less<>> servers;
};

struct RoutingView {
  std::shared_ptr<const config::ActiveManifest> manifest;
  std::map<std::string, LedCellView, std::less<>> led;
  std::map<std::string, membership::CellLeader, std::less<>> leaders;
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_ROUTING_VIEW_H_
