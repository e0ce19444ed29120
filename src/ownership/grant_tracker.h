/// \file
/// Defines the grant ledger: what one instance has granted to each server of a
/// cell, and until when such a grant may be live.
///
/// A grant's deadline is on the server's clock and is computed from a reading
/// that this server returned. Between the moment of an order and its reply the
/// reading was taken, so a deadline translates to our clock with only the drift
/// as error: it is surely live until the order's departure plus the shrunk
/// lease, and surely over at the reply's arrival plus the stretched lease. An
/// order that is delayed in the network carries the old deadline and extends
/// nothing.

#ifndef CHERVILMUX_OWNERSHIP_GRANT_TRACKER_H_
#define CHERVILMUX_OWNERSHIP_GRANT_TRACKER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"

namespace chervilmux::ownership {

/// What an order says, apart from its token and deadline.
struct OrderContent {
  std::uint64_t term = 0;
  RowVersion version;
  RowVersion serving;
  bool grants = false;  ///< Otherwise it revokes.
  bool operator==(const OrderContent&) const = default;
};

/// What is known about one server.
struct GrantRecord {
  bool has_reading = false;
  std::int64_t reading_us = 0;     ///< On the server's clock.
  kernel::Instant reading_after;   ///< Our clock, not later than reading.
  kernel::Instant reading_before;  ///< Our clock, not before the reading.
  kernel::Instant lapses_at = kernel::kNever;  ///< Any grant is over then.
  /// Any grant whose content differs from the last order's is over then.
  kernel::Instant earlier_lapses_at = kernel::kNever;
  kernel::Instant live_until =
      kernel::kNever;                        ///< Last one is live until then.
  Token live_token;                          ///< Of the last accepted grant.
  RowVersion live_serving;                   ///< Of the last accepted grant.
  RowVersion live_version;                   ///< Of the last accepted grant.
  RowVersion acked_version;                  ///< Of the last accepted order.
  std::uint64_t acked_term = 0;              ///< Of the last accepted order.
  kernel::Instant last_ok = kernel::kNever;  ///< Last accepted reply.
  /// Last reply of any kind: a server that refuses is not lost.
  kernel::Instant last_reply = kernel::kNever;
  kernel::Instant ok_since = kernel::kNever;  ///< Start of unbroken replies.
  kernel::Instant first_order = kernel::kNever;
  kernel::Instant last_order = kernel::kNever;
  OrderContent last_content;  ///< Of the last order.
  std::uint64_t incarnation = 0;
  bool checks_tokens = false;
  Token superseded_by;  ///< From a refusal.
};

class GrantTracker {
 public:
  explicit GrantTracker(const CellTiming& timing) : timing(timing) {}

  /// The record of `server`; created when missing.
  GrantRecord& At(std::string_view server);

  /// The record of `server`, or nullptr.
  const GrantRecord* Find(std::string_view server) const;

  /// Builds an order of that content. A grant is for a full lease, or a mere
  /// probe while no reading of the server's clock is known.
  GrantOrder Issue(std::string_view server, const OrderContent& content,
                   kernel::Instant now);

  /// For how long some grant of ours may still be live; zero when none is.
  kernel::Duration GrantsLeft(kernel::Instant now) const;

  /// Takes in a server's answer.
  void OnReply(const GrantReply& reply, kernel::Instant now);

 private:
  CellTiming timing;
  std::uint64_t counter = 0;
  std::map<std::string, GrantRecord, std::less<>> records;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_GRANT_TRACKER_H_
