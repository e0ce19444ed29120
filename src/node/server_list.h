/// \file
/// Defines which backend servers are there, from the rows of the server table
/// and from how well the store could be heard.
///
/// A row that vanishes means that its server has left, or that the server could
/// not write while the store was away. In the second case it is back shortly
/// after the store is, so such a server is kept in use for a moment. Only a
/// failure of the store towards whoever has read the rows tells of this case.
///
/// What servers reported counts also after the store has come back from an
/// older copy: until a server reports anew, rows tell nothing that is older
/// than what is known of it.

#ifndef CHERVILMUX_NODE_SERVER_LIST_H_
#define CHERVILMUX_NODE_SERVER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"

namespace chervilmux::node {

using ServersById = std::map<std::string, model::BackendServer, std::less<>>;

/// A server that, as of a report of it or later, has left or drains, although
/// its row, which is of an older copy of the store, does not say so.
struct Departure {
  std::string id;
  std::uint64_t life = 0;
  std::uint64_t report_number = 0;
  bool left = false;  ///< Otherwise it drains.
  bool operator==(const Departure&) const = default;
};

class ServerList {
 public:
  /// Takes in the rows as they are now. The rows before are known to have been
  /// right until `unchanged_until`; kNever when that is unknown.
  void Update(const ServersById& rows, kernel::Instant unchanged_until,
              kernel::Instant now);

  /// When the store last failed to answer whoever has read the rows; kNever if
  /// it did not. An earlier time replaces a later one: the rows may be known
  /// from another reader meanwhile.
  void SetStoreFailure(kernel::Instant at) { this->store_failed_at = at; }

  /// The store has come back from an older copy, whose rows the next Update()
  /// brings: they may lack what servers have reported since.
  void NoteRestored();

  /// What is known here that the rows of the last Update() lack.
  const std::vector<Departure>& Departures() const { return this->departures; }

  /// Takes in what a peer knows of the servers that are listed here. Returns
  /// whether that is news; then Update() has to follow with the same rows.
  bool LearnFromPeer(std::span<const Departure> told, kernel::Instant now);

  /// Chooses the servers in use. Returns whether they changed since the last
  /// call.
  bool Refresh(kernel::Instant now);
  /// Until when the rows are known to have been as they were before the change
  /// that the last Refresh() found; kNever when that is unknown.
  kernel::Instant UnchangedUntil() const { return this->in_use_until; }
  /// Servers that are remembered, in use or not.
  std::size_t Remembered() const { return this->known.size(); }
  const ServersById& InUse() const { return this->in_use; }
  /// Servers in use that are missing and would be gone but for the store's
  /// failure, as of the last Refresh().
  std::size_t Excused() const { return this->excused; }

 private:
  /// A server that has vanished from the rows.
  struct Missing {
    kernel::Instant since;
    kernel::Instant keep_until;  ///< Unless an outage explains it.
    /// The row was lost when the store came back from an older copy.
    bool lost = false;
  };

  /// A server as last reported, also when it is gone.
  struct Known {
    model::BackendServer server;
    kernel::Instant listed_at = kernel::kNever;  ///< The last time.
    /// Its row may be of an older copy of the store.
    bool may_be_old = false;
    /// It had left before the store came back from an older copy, which may
    /// bring back its row, not the server.
    bool left = false;
  };

  void NoteDeparture(const Known& record, const model::BackendServer& row);
  ServersById WithoutOldReports(const ServersById& rows, kernel::Instant now);
  void ForgetOldest();
  bool LooksLikeOutage() const;
  enum class Keeping : std::uint8_t { kDropped, kForAMoment, kExcused };
  Keeping KeepingOf(const model::BackendServer& server, const Missing& gap,
                    kernel::Instant now) const;

  ServersById listed;
  std::map<std::string, Missing, std::less<>> missing;
  std::map<std::string, Known, std::less<>> known;
  ServersById in_use;
  std::vector<Departure> departures;
  kernel::Instant store_failed_at = kernel::kNever;
  std::size_t excused = 0;
  bool rows_changed = false;  ///< Since the last Refresh().
  /// The earliest `unchanged_until` since the last Refresh().
  kernel::Instant earliest_until = kernel::Instant::max();
  kernel::Instant in_use_until = kernel::kNever;
  bool restored = false;  ///< Since the last Update().
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_SERVER_LIST_H_
