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
struct StoreResult {
  enum class Kind : std::uint8_t {
    kIgnored,  ///< Failed, refused or outdated reply.
    kAbsent,   ///< The store holds no row yet.
    kRead,     ///< The store holds `row`.
    kWritten,  ///< Our write of `row` is stored.
  };
  Kind kind = Kind::kIgnored;
  CellRow row;
  kernel::Instant not_before =
      kernel::kNever;  ///< True at some time after this.
};

class RowWriter {
 public:
  struct Counters {
    std::uint64_t conflicts = 0;
    std::uint64_t failures = 0;
    std::uint64_t unknown_writes_resolved = 0;
    std::uint64_t regressions = 0;
  };

  RowWriter(const InstanceId& self, const CellTiming& timing,
            bool resolve_unknown_writes);

  /// Whether a request may start at `now`. Gives up an overdue one first.
  bool CheckIdle(kernel::Instant now);

  void StartRead(kernel::Instant now, Actions& actions);

  /// Writes `row`, or reads first when the store's revision is not certain.
  /// Returns whether the write itself was issued.
  /// `changes_members`: the row names another pair than the stored one.
  bool StartWrite(CellRow row, bool changes_members, kernel::Instant now,
                  Actions& actions);

  /// Whether a write that changes the pair may still take effect: its answer
  /// was lost and the store's revision has not moved past it. Another write
  /// settles it.
  bool MembersWriteOutcomeUnknown() const {
    return this->unknown_outcome_revision &&
           *this->unknown_outcome_revision >= this->revision;
  }

  /// Whether a write that changes the pair awaits its answer.
  bool MembersWritePending() const {
    return this->pending_write && this->pending_write_changes_members;
  }

  StoreResult OnReply(const StoreReply& reply);

  /// Whether no write of ours can change the pair any more: none awaits its
  /// answer and none is uncertain.
  bool MembersSettled() const {
    return !this->MembersWritePending() && !this->MembersWriteOutcomeUnknown();
  }

  /// Version of the stored row, as far as known.
  RowVersion StoredVersion() const { return this->stored_version; }
  kernel::Instant LastRequestAt() const { return this->last_request_at; }

  /// Whether the latest finished request failed.
  bool LastRequestFailed() const { return this->last_request_failed; }
  const Counters& GetCounters() const { return this->counters; }

 private:
  StoreResult OnStoredRow(const StoreReply& reply, kernel::Instant not_before);
  void StartRequest(kernel::Instant now);
  void RecordFailure();

  std::string writer_prefix;
  CellTiming timing;
  bool resolve_unknown_writes;
  std::uint64_t last_request = 0;
  std::uint64_t pending_request = 0;  ///< 0: none.
  kernel::Instant request_deadline = kernel::kNever;
  kernel::Instant last_request_at = kernel::kNever;
  std::optional<CellRow> pending_write;
  bool pending_write_changes_members = false;
  std::optional<std::uint64_t> unknown_outcome_revision;
  bool revision_confirmed = false;
  bool last_request_failed = false;
  std::uint64_t revision = 0;
  RowVersion stored_version;
  Counters counters;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_ROW_WRITER_H_
