/// \file
/// Defines which backend servers are there, from the rows of the server table
/// and from how well the store could be heard.
///
/// A row that vanishes means that its server has left, or that the server could
/// not write while the store was away. In the second case it is back shortly
/// after the store is, so such a server is kept in use for a moment.

#ifndef CHERVILMUX_NODE_SERVER_LIST_H_
#define CHERVILMUX_NODE_SERVER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"

namespace chervilmux::node {

using ServersById = std::map<std::string, model::BackendServer, std::less<>>;

class ServerList {
 public:
  /// Takes in the rows as they are now. The rows before are known to have been
  /// right until `unchanged_until`; kNever when that is unknown.
  void Update(const ServersById& rows, kernel::Instant unchanged_until,
              kernel::Instant now);

  /// The store did not answer at `at`, here or at another instance.
  void NoteStoreTrouble(kernel::Instant at);

  /// The servers in use. Returns whether they changed since the last call.
  bool Refresh(kernel::Instant now);
  const ServersById& InUse() const { return this->in_use; }

 private:
  /// A server that has vanished from the rows.
  struct Missing {
    kernel::Instant since;
    kernel::Instant keep_until;  ///< Unless an outage explains it.
  };

  bool LooksLikeOutage() const;
  bool KeepsMissing(const model::BackendServer& server, const Missing& gap,
                    kernel::Instant now) const;

  ServersById listed;
  std::map<std::string, Missing, std::less<>> missing;
  ServersById in_use;
  kernel::Instant trouble_at = kernel::kNever;
  bool rows_changed = false;  ///< Since the last Refresh().
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_SERVER_LIST_H_
