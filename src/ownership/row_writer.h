/// \file
/// Defines RowWriter: one instance's dealings with the stored copy of a row.
///
/// One request at a time. Writes are compare-and-set on the store's revision. A
/// write whose answer was lost is resolved by reading back, never by repeating
/// it blindly: each write carries an id that no other write carries. A store
/// that shows an older revision than before is refused.

#ifndef CHERVILMUX_OWNERSHIP_ROW_WRITER_H_
#define CHERVILMUX_OWNERSHIP_ROW_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kernel/time.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"

namespace chervilmux::ownership {

/// What a store reply meant.
struct StoreFact {
  enum class Kind : std::uint8_t {
    kNothing,  ///< Failed, refused or outdated reply.
    kAbsent,   ///< The store holds no row yet.
    kSeen,     ///< The store holds `row`.
    kWritten,  ///< Our write of `row` is stored.
  };
  Kind kind = Kind::kNothing;
  CellRow row;
  kernel::Instant proof = kernel::kNever;  ///< True at some time after this.
};

class RowWriter {
 public:
  struct Counters {
    std::uint64_t conflicts = 0;
    std::uint64_t failures = 0;
    std::uint64_t unknown_resolved = 0;
    std::uint64_t regressions = 0;
  };

  RowWriter(const InstanceId& self, const CellTiming& timing,
            bool resolve_unknown);

  /// Whether a request may start at `now`. Gives up an overdue one first.
  bool Idle(kernel::Instant now);

  void Read(kernel::Instant now, Actions& actions);

  /// Writes `row`, or reads first when the store's revision is not certain.
  /// Returns whether the write itself was issued.
  /// `changes_pair`: the row names another pair than the stored one.
  bool Write(CellRow row, bool changes_pair, kernel::Instant now,
             Actions& actions);

  /// Whether a write that changes the pair may still take effect: its answer
  /// was lost and the store's revision has not moved past it. Another write
  /// settles it.
  bool PairUncertain() const {
    return this->uncertain_revision &&
           *this->uncertain_revision >= this->revision;
  }

  /// Whether a write that changes the pair awaits its answer.
  bool PairWriteOpen() const {
    return this->open_write && this->open_changes_pair;
  }

  StoreFact OnReply(const StoreReply& reply);

  /// Whether no write of ours can change the pair any more: none awaits its
  /// answer and none is uncertain.
  bool PairSettled() const {
    return !this->PairWriteOpen() && !this->PairUncertain();
  }

  /// Version of the stored row, as far as known.
  RowVersion StoredVersion() const { return this->stored_version; }
  kernel::Instant LastAttempt() const { return this->last_attempt; }

  /// Whether the latest finished request failed.
  bool Down() const { return this->down; }
  const Counters& Count() const { return this->counters; }

 private:
  StoreFact OnRow(const StoreReply& reply, kernel::Instant proof);
  void Begin(kernel::Instant now);
  void Fail();

  std::string writer_prefix;
  CellTiming timing;
  bool resolve_unknown;
  std::uint64_t last_request = 0;
  std::uint64_t open_request = 0;  ///< 0: none.
  kernel::Instant overdue_at = kernel::kNever;
  kernel::Instant last_attempt = kernel::kNever;
  std::optional<CellRow> open_write;
  bool open_changes_pair = false;
  std::optional<std::uint64_t> uncertain_revision;
  bool revision_certain = false;
  bool down = false;
  std::uint64_t revision = 0;
  RowVersion stored_version;
  Counters counters;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_ROW_WRITER_H_
