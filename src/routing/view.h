/// \file
/// Defines the routing view: the ownership, leadership and manifest data that
/// the control task sends to the router task.
///
/// A view is immutable. The control task sends a new one periodically. Until
/// the next view arrives, the router applies the time limits that the current
/// view contains, such as ServerView::send_until.

#ifndef CHERVILMUX_ROUTING_VIEW_H_
#define CHERVILMUX_ROUTING_VIEW_H_

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

/// A backend server of a cell that this instance leads.
struct ServerView {
  net::Address address;
  unsigned slots = 1;  ///< Requests that the server runs at once.
  /// No request may be sent at or after this time; kNever forbids sending.
  kernel::Instant send_until = kernel::kNever;
  ownership::Token token;  ///< Fencing token to send with requests.
  bool in = false;         ///< Owns keys by the newest cell row.
  bool lost = false;       ///< Owns no keys: it did not answer or was removed.
};

/// A cell that this instance leads.
struct LedCellView {
  ownership::RowVersion version;  ///< Of the newest cell row.
  /// Of the row whose owners are in effect.
  ownership::RowVersion serving_version;
  /// Owners of keys according to the row in effect.
  std::shared_ptr<const ownership::Placement> serving;
  /// Owners according to the newest row; null unless a change of owners is in
  /// progress.
  std::shared_ptr<const ownership::Placement> next;
  std::map<std::string, ServerView, std::less<>> servers;
};

struct RoutingView {
  std::shared_ptr<const config::ActiveManifest> manifest;
  /// The cells that this instance leads, by name.
  std::map<std::string, LedCellView, std::less<>> led_cells;
  /// Known leaders of cells in any failure domain, by cell name.
  std::map<std::string, membership::CellLeader, std::less<>> leader_by_cell;
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_VIEW_H_
