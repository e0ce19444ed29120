/// \file
/// Defines the interface to the platform's metadata store: rows in tables,
/// changed by atomic transactions under conditions and followed by version.
///
/// The store may come back from an older copy of itself. That begins a new era:
/// what was written since the copy is gone, and versions are given out again.
/// Versions are comparable within one era only.

#ifndef CHERVILMUX_STORE_METADATA_STORE_H_
#define CHERVILMUX_STORE_METADATA_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"

namespace chervilmux::store {

struct Row {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< 0: the row does not exist.
  bool removed = false;       ///< A change that dropped the row.
};

enum class StoreStatus : std::uint8_t {
  kDone,
  kConflict,     ///< A condition did not hold; nothing was changed.
  kHistoryGone,  ///< The changes since that version are not kept any more.
  kRejected,     ///< Nothing was done: busy, or this instance is turned away.
  kNoAnswer,     ///< Whether it was done is unknown, and it may happen later.
};

/// Rows as of one version, or the changes up to one.
struct RowsReply {
  StoreStatus status = StoreStatus::kNoAnswer;
  std::vector<Row> rows;
  std::uint64_t version = 0;
  /// The era in which the store answered; 0 without an answer.
  std::uint64_t era = 0;
};

/// All rows of `expected` must have the versions given; then all of `writes`
/// and `deletes` take effect at once.
struct Transaction {
  std::vector<Row> expected;
  std::vector<Row> writes;
  std::vector<Row> deletes;  ///< Without values; each row exists.
};

struct CommitReply {
  StoreStatus status = StoreStatus::kNoAnswer;
  std::uint64_t version = 0;  ///< Of the rows written, with kDone.
  /// The era in which the store answered; 0 without an answer.
  std::uint64_t era = 0;
};

/// All calls are asynchronous; callbacks run on the owning task's thread.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// All rows of `table`, as of one moment.
  virtual void List(std::string_view table,
                    std::function<void(RowsReply)> done) = 0;

  /// The changes of `table` after `version`; answers as soon as there is one,
  /// or without any when `wait` is over.
  virtual void Follow(std::string_view table, std::uint64_t version,
                      kernel::Duration wait,
                      std::function<void(RowsReply)> done) = 0;

  virtual void Commit(const Transaction& transaction,
                      std::function<void(CommitReply)> done) = 0;
};

}  // namespace chervilmux::store

#endif  // CHERVILMUX_STORE_METADATA_STORE_H_
