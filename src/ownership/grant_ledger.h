/// \file
/// Defines GrantTracker, which records what one instance has granted to each
/// server of a cell and until when each grant may be valid.
///
/// The deadline of a grant is on the server's clock and is computed from a
/// clock reading that the server returned. The reading was taken between the
/// sending of an order and the arrival of its reply, so conversion to this
/// instance's clock adds only the clock drift as an error. The grant is valid
/// at least until the sending time plus the lease less the drift margin, and
/// has expired by the arrival time plus the lease and the drift margin. An
/// order that is delayed in the network carries an old deadline and therefore
/// extends no grant.

#ifndef CHERVILMUX_OWNERSHIP_GRANT_LEDGER_H_
#define CHERVILMUX_OWNERSHIP_GRANT_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"

namespace chervilmux::ownership {

/// Content of an order apart from its counter and deadline.
struct OrderContent {
  std::uint64_t term = 0;
  RowVersion version;
  RowVersion serving;
  bool is_grant = false;  ///< False: the order revokes grants.
  bool operator==(const OrderContent&) const = default;
};

/// State of the orders to one server and of the server's replies.
struct GrantRecord {
  bool has_clock_reading = false;
  std::int64_t clock_reading_us = 0;  ///< On the server's clock.
  /// Lower and upper bound, on this instance's clock, of when the server's
  /// clock was read.
  kernel::Instant reading_not_before;
  kernel::Instant reading_not_after;
  /// No grant to this server is valid after this time.
  kernel::Instant expires_at = kernel::kNever;
  /// No grant whose content differs from `last_content` is valid after this
  /// time.
  kernel::Instant previous_content_expires_at = kernel::kNever;
  /// The last accepted grant is valid at least until this time.
  kernel::Instant valid_until = kernel::kNever;
  /// Token in the last grant that the server accepted.
  Token granted_token;
  /// `serving` in the last grant that the server accepted.
  RowVersion granted_serving_version;
  /// `version` in the last grant that the server accepted.
  RowVersion granted_version;
  /// Row version in the last grant order that the server accepted; the order
  /// may be a grant or a revocation.
  RowVersion acknowledged_version;
  /// Term of the token in the last grant order that the server accepted.
  std::uint64_t acknowledged_term = 0;
  kernel::Instant last_accepted_reply_at = kernel::kNever;
  /// Time of the last reply of any kind: a server that refuses is reachable.
  kernel::Instant last_reply_at = kernel::kNever;
  /// Start of the current run of accepted orders without a gap.
  kernel::Instant accepted_since = kernel::kNever;
  kernel::Instant first_order_at = kernel::kNever;
  kernel::Instant last_order_at = kernel::kNever;
  OrderContent last_content;  ///< Content of the last order sent.
  std::uint64_t incarnation = 0;
  bool checks_tokens = false;
  Token superseding_token;  ///< Highest token that a refusal reported.
};

class GrantTracker {
 public:
  explicit GrantTracker(const CellTiming& timing) : timing(timing) {}

  /// Returns the record of `server`; creates it if there is none.
  GrantRecord& GetOrCreate(std::string_view server);

  /// Returns the record of `server`, or nullptr.
  const GrantRecord* Find(std::string_view server) const;

  /// Creates and records an order with `content`. A grant lasts for a full
  /// lease. While no reading of the server's clock is known, the order grants
  /// nothing and only requests a reading.
  GrantOrder IssueOrder(std::string_view server, const OrderContent& content,
                        kernel::Instant now);

  /// Returns for how long any grant of this instance may still be valid; zero
  /// when none is.
  kernel::Duration MaxGrantRemaining(kernel::Instant now) const;

  /// Records a server's reply to an order.
  void OnReply(const GrantReply& reply, kernel::Instant now);

 private:
  CellTiming timing;
  /// Counter in the token of the last order; each order increments it.
  std::uint64_t counter = 0;
  std::map<std::string, GrantRecord, std::less<>> records;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_GRANT_LEDGER_H_
