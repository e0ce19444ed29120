/// \file
/// Defines an instance's replica of one table of the metadata store.
///
/// Changes may come from the store or from the replica of another instance, in
/// any order and more than once: a row is only replaced by a higher version. An
/// instance that cannot reach the store therefore stays up to date through its
/// peers.

#ifndef CHERVILMUX_REPLICA_ROW_REPLICA_H_
#define CHERVILMUX_REPLICA_ROW_REPLICA_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "store/metadata_store.h"

namespace chervilmux::replica {

class RowReplica {
 public:
  /// Applies changes; afterwards all changes up to `version` are known. Returns
  /// whether any row changed.
  bool ApplyChanges(std::span<const store::Row> changes, std::uint64_t version);

  /// Replaces the replica by the whole table as of `version`: rows that are not
  /// listed have been deleted. Returns whether any row changed. A snapshot
  /// older than the replica is ignored.
  bool ApplySnapshot(std::span<const store::Row> rows, std::uint64_t version);

  /// Whether ChangesAfter(`version`) is complete.
  bool HasHistorySince(std::uint64_t version) const;

  /// Changes after `version`, including tombstones of deleted rows.
  std::vector<store::Row> ChangesAfter(std::uint64_t version) const;

  /// Existing rows by key.
  const std::map<std::string, store::Row, std::less<>>& Rows() const {
    return this->rows;
  }

  /// All changes up to this version are known; 0 before the first update.
  std::uint64_t Version() const { return this->version; }

 private:
  bool ApplyRow(const store::Row& change);

  std::map<std::string, store::Row, std::less<>> rows;
  /// Deleted rows by key, so that a stale change does not restore them.
  std::map<std::string, store::Row, std::less<>> tombstones;
  std::uint64_t version = 0;
  /// ChangesAfter() may lack changes if it is called with an older version.
  std::uint64_t history_start = 0;
};

}  // namespace chervilmux::replica

#endif  // CHERVILMUX_REPLICA_ROW_REPLICA_H_
