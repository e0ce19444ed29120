/// \file
/// Defines what goes into and comes out of a CellMachine.
///
/// Inputs are facts (a message arrived, the store answered); outputs are
/// actions for the task that owns the sockets. Both are plain values, so that a
/// test can carry them in virtual time through any fault.

#ifndef CHERVILMUX_OWNERSHIP_CELL_EVENTS_H_
#define CHERVILMUX_OWNERSHIP_CELL_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/time.h"
#include "ownership/row.h"

namespace chervilmux::ownership {

/// Between the instances of one cell. A leader sends kPing to its standby and
/// to formers; a receiver that accepts the row answers kEcho, which promises
/// that it does not lead and will never act on an older row.
struct PeerMessage {
  enum class Kind : std::uint8_t { kPing, kEcho };
  Kind kind = Kind::kPing;
  InstanceId from;
  RowVersion version;          ///< Of the newest row the sender accepts.
  RowVersion serving_version;  ///< Of the row that grants follow (kPing).
  /// The newest row (kPing); empty when the addressee has accepted it.
  std::optional<CellRow> row;
  std::optional<CellRow> serving;  ///< Set while it differs from `row`.
  /// For how long grants of the sender may still be live.
  kernel::Duration grants_valid_for{0};
  kernel::Instant sent_at;  ///< On the sender's clock.
  /// The newest `sent_at` received from the addressee, on the addressee's
  /// clock: proof of a round trip that no delay in the network can stretch.
  kernel::Instant echoed_sent_at = kernel::kNever;
};

/// The order to a server to accept this cell's requests under `token` until
/// `deadline_us` on the SERVER's clock. A deadline of zero grants nothing and
/// revokes what was granted under lower tokens.
///
/// `version` is the newest row the order tells of, `serving` the row whose
/// owners it follows. They differ while owners change; the server then owns
/// only the keys that BOTH rows give it.
struct GrantOrder {
  Token token;
  RowVersion version;
  RowVersion serving;
  std::int64_t deadline_us = 0;
  /// Life of the server whose clock the deadline refers to; another life
  /// refuses the grant, because its clock may start anew.
  std::uint64_t incarnation = 0;
};

/// A server's answer to a GrantOrder.
struct GrantReply {
  std::string server;
  Token token;                   ///< Of the order that is answered.
  RowVersion version;            ///< Of the order that is answered.
  RowVersion serving;            ///< Of the order that is answered.
  std::int64_t deadline_us = 0;  ///< Of the order that is answered.
  bool accepted = false;
  Token highest_token;            ///< Highest token that the server has seen.
  std::int64_t clock_us = 0;      ///< Reading of the server's clock.
  std::uint64_t incarnation = 0;  ///< Changes when the server restarts.
  bool checks_tokens = false;     ///< Whether it refuses lower tokens.
  kernel::Instant ordered_at;     ///< When the order left, on our clock.
};

/// The store's answer to a read or write of the cell's row.
struct StoreReply {
  enum class Status : std::uint8_t {
    kRow,
    kAbsent,
    kConflict,
    kWritten,
    kFailed
  };
  Status status = Status::kFailed;
  std::optional<CellRow> row;  ///< With kRow and kConflict.
  std::uint64_t revision = 0;  ///< Store revision of the row.
  std::uint64_t request = 0;   ///< Of the action that is answered.
};

/// A server that the manifest and the platform's list want in the cell.
struct DesiredServer {
  std::string name;
  double weight = 1.0;
  bool leaving = false;
  bool operator==(const DesiredServer&) const = default;
};

/// What the platform's lagging list says about an instance.
struct GoneInstance {
  std::string name;
  std::uint64_t incarnation = 0;  ///< This life and earlier ones are gone.
  kernel::Instant since;          ///< When we first saw the list say so.
};

/// The facts about other instances that a cell uses.
struct Membership {
  std::vector<InstanceId> candidates;  ///< Live, in order of preference.
  std::vector<InstanceId> leaving;     ///< Obeyed at once.
  std::vector<GoneInstance> gone;
};

struct ReadRow {
  std::uint64_t request = 0;
};
struct WriteRow {
  std::uint64_t request = 0;
  CellRow row;
  std::uint64_t expected_revision = 0;  ///< 0: must not exist yet.
};
struct SendPeerMessage {
  InstanceId to;
  PeerMessage message;
};
struct SendGrantOrder {
  std::string server;
  GrantOrder order;
};
using Action = std::variant<ReadRow, WriteRow, SendPeerMessage, SendGrantOrder>;
using Actions = std::vector<Action>;

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_EVENTS_H_
