/// \file
/// Defines the cell row: the record in the table service that names the
/// instances in charge of a cell and the backend servers that own its keys.
///
/// A cell is the unit of ownership: one service in one failure domain. Its
/// members are two entry instances, the primary and the standby. The size of
/// the row does not depend on the number of keys, so the loss of a server or of
/// a rack costs one write per cell.

#ifndef CHERVILMUX_OWNERSHIP_ROW_H_
#define CHERVILMUX_OWNERSHIP_ROW_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace chervilmux::ownership {

/// Identifies one incarnation of an entry instance. A restarted instance keeps
/// its name and takes a higher incarnation.
struct InstanceId {
  std::string name;
  std::uint64_t incarnation = 0;

  bool Empty() const { return this->name.empty(); }
  auto operator<=>(const InstanceId&) const = default;
};

/// Fencing token of a grant: a server accepts only tokens that are not lower
/// than the highest one it has seen. `term` grows whenever the primary changes.
struct Token {
  std::uint64_t term = 0;
  std::uint64_t counter = 0;
  auto operator<=>(const Token&) const = default;
};

/// Version of a cell's row, ordered by term and then by sequence. `sequence`
/// grows with every change.
struct RowVersion {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const RowVersion&) const = default;
};

enum class ServerState : std::uint8_t {
  kIn,        ///< Owns a share of the keys that is proportional to its weight.
  kDraining,  ///< Owns no keys; completes the requests that it has received.
  kOut,       ///< Owns no keys; unreachable or removed.
};

/// A cell's entry for one backend server.
struct ServerEntry {
  std::string name;
  ServerState state = ServerState::kIn;
  double weight = 1.0;
  bool operator==(const ServerEntry&) const = default;
};

/// A cell's row. `servers` is sorted by name.
struct CellRow {
  RowVersion version;
  InstanceId primary;
  InstanceId standby;  ///< Empty when the cell has no standby.
  /// Instances that were primary or standby earlier and may still act on an
  /// earlier version of this row.
  std::vector<InstanceId> formers;
  std::vector<ServerEntry> servers;
  std::map<std::uint64_t, std::string> overrides;  ///< Key hash -> server.
  /// Unique id of the write that stored this row. It tells an instance whether
  /// its write took effect when the answer was lost.
  std::string writer;

  bool operator==(const CellRow&) const = default;

  /// Returns the entry of `server`, or nullptr.
  const ServerEntry* Find(std::string_view server) const;

  /// Returns whether both rows give every key the same owner.
  bool HasSameOwners(const CellRow& other) const;
};

/// Adds `instance` to `row.formers` unless `instance` is empty or already
/// there.
void AddFormerMember(CellRow& row, const InstanceId& instance);

/// Removes the primary and the standby from `row.formers`: a primary knows the
/// grants that it has issued, and a standby promises with its echo not to act
/// on older rows.
void RemoveMembersFromFormers(CellRow& row);

/// The term grows by 1 when the standby takes over or receives the cell from
/// the primary, and by this stride when a change of primary or standby goes
/// through the store first. A take-over and a stored change can therefore never
/// choose the same term.
inline constexpr std::uint64_t kClaimTermStride = 1U << 16U;

/// Returns the JSON text of `row`, as stored in the table service.
std::string EncodeRow(const CellRow& row);

/// Parses a text of EncodeRow(). Fails with kMessageMalformed.
kernel::Result<CellRow> DecodeRow(std::string_view text);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_ROW_H_
