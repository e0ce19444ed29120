/// \file
/// Defines this instance's copy of one table of the store.
///
/// Changes may come from the store or from another instance's copy, in any
/// order and more than once: a row only ever goes to a higher version. An
/// instance that the store turns away thus learns from its peers what it would
/// have learnt there.

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
  /// Takes in changes; all up to `version` are known then. Returns whether
  /// anything was new.
  bool ApplyChanges(std::span<const store::Row> changes, std::uint64_t version);

  /// Takes in the whole table as of `version`: rows not listed are gone.
  bool ApplySnapshot(std::span<const store::Row> rows, std::uint64_t version);

  /// Whether ChangesAfter(`version`) would leave nothing out.
  bool HasHistorySince(std::uint64_t version) const;

  /// Changes after `version`, dropped rows included.
  std::vector<store::Row> ChangesAfter(std::uint64_t version) const;

  /// Rows that exist, by key.
  const std::map<std::string, store::Row, std::less<>>& Rows() const {
    return this->rows;
  }

  /// All changes up to this version are known; 0 before the first.
  std::uint64_t Version() const { return this->version; }

 private:
  bool ApplyRow(const store::Row& change);

  std::map<std::string, store::Row, std::less<>> rows;
  /// Dropped rows by key, so that older news do not bring them back.
  std::map<std::string, store::Row, std::less<>> dropped;
  std::uint64_t version = 0;
  std::uint64_t history_from = 0;  ///< Version of the last ApplySnapshot().
};

}  // namespace chervilmux::replica

#endif  // CHERVILMUX_REPLICA_ROW_REPLICA_H_
