/// \file
/// Defines RowWriter, which reads and writes the stored copy of a cell's row
/// for one instance.
///
/// At most one request is pending. A write is a compare-and-set on the store's
/// revision and carries a unique id. When the answer to a write is lost,
/// RowWriter reads the row and compares the id instead of sending the write
/// again. It ignores a reply that shows an older revision than an earlier
/// reply.

#ifndef CHERVILMUX_OWNERSHIP_ROW_WRITER_H_
#define CHERVILMUX_OWNERSHIP_ROW_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kernel/time.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"

namespace chervilmux::ownership {

/// Result of a read or write of the stored cell row.
struct StoreResult {
  enum class Kind : std::uint8_t {
    kIgnored,  ///< The reply failed or is outdated.
    kAbsent,   ///< The store holds no row yet.
    kRead,     ///< The store holds `row`.
    kWritten,  ///< The write of `row` by this instance is stored.
  };
  Kind kind = Kind::kIgnored;
  CellRow row;
  /// Lower bound of the snapshot time: the time at which the request was
  /// started. The store held the reported state at some later time.
  kernel::Instant not_before = kernel::kNever;
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

  /// Returns whether no request is pending at `now`. A pending request whose
  /// deadline has passed is recorded as failed first.
  bool CheckIdle(kernel::Instant now);

  void StartRead(kernel::Instant now, Actions& actions);

  /// Starts a write of `row`, or a read when the store's current revision is
  /// not known. Returns whether it started the write. `changes_members`: `row`
  /// names another primary or standby than the stored row.
  bool StartWrite(CellRow row, bool changes_members, kernel::Instant now,
                  Actions& actions);

  /// Returns whether a write that changes the primary or standby may still
  /// take effect: its answer was lost and the store's revision has not advanced
  /// since. Another write rules that out.
  bool MembersWriteOutcomeUnknown() const {
    return this->unknown_outcome_revision &&
           *this->unknown_outcome_revision >= this->revision;
  }

  /// Returns whether a write that changes the primary or standby awaits its
  /// answer.
  bool MembersWritePending() const {
    return this->pending_write && this->pending_write_changes_members;
  }

  StoreResult OnReply(const StoreReply& reply);

  /// Returns whether no earlier write of this instance can still change the
  /// primary or standby: none awaits its answer and none has an unknown
  /// outcome.
  bool MembersSettled() const {
    return !this->MembersWritePending() && !this->MembersWriteOutcomeUnknown();
  }

  /// Returns the version of the stored row, as far as known.
  RowVersion StoredVersion() const { return this->stored_version; }
  kernel::Instant LastRequestAt() const { return this->last_request_at; }

  /// Returns whether the latest completed request failed.
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
  /// The row of the latest write until its outcome is known.
  std::optional<CellRow> pending_write;
  bool pending_write_changes_members = false;
  /// Store revision that a write was to replace when its answer was lost. Only
  /// for writes that change the members.
  std::optional<std::uint64_t> unknown_outcome_revision;
  /// A reply stated `revision`, and no write has lost its answer since.
  bool revision_confirmed = false;
  bool last_request_failed = false;
  std::uint64_t revision = 0;  ///< Newest store revision seen.
  RowVersion stored_version;
  Counters counters;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_ROW_WRITER_H_
