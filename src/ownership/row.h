/// \file
/// Defines the cell row: the one record of the table service that says who is
/// in charge of a cell and which backend servers own its keys.
///
/// A cell is the unit of ownership: one service in one failure domain. Its row
/// is small and independent of the number of keys, so that the loss of a server
/// or of a rack is one write per cell.

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

/// One life of one entry instance. A restart keeps the name and takes a higher
/// incarnation.
struct InstanceId {
  std::string name;
  std::uint64_t incarnation = 0;

  bool Empty() const { return this->name.empty(); }
  auto operator<=>(const InstanceId&) const = default;
};

/// Fencing token of a grant: a server accepts only tokens that are not lower
/// than the highest one it has seen. `term` changes with the primary.
struct Token {
  std::uint64_t term = 0;
  std::uint64_t counter = 0;
  auto operator<=>(const Token&) const = default;
};

/// Orders the contents of one cell's row. `sequence` grows with every change.
struct RowVersion {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const RowVersion&) const = default;
};

enum class ServerState : std::uint8_t {
  kIn,        ///< Owns keys by its weight.
  kDraining,  ///< Owns nothing; finishes what it has.
  kOut,       ///< Owns nothing; lost or removed.
};

/// A backend server as a cell sees it.
struct ServerEntry {
  std::string name;
  ServerState state = ServerState::kIn;
  double weight = 1.0;
  bool operator==(const ServerEntry&) const = default;
};

/// The row. `servers` is sorted by name.
struct CellRow {
  RowVersion version;
  InstanceId primary;
  InstanceId standby;               ///< Empty when there is none.
  std::vector<InstanceId> formers;  ///< Not yet known to be excluded.
  std::vector<ServerEntry> servers;
  std::map<std::uint64_t, std::string> overrides;  ///< Key hash -> server.
  std::string writer;  ///< Unique id of the write, to resolve lost answers.

  bool operator==(const CellRow&) const = default;

  /// The entry of `server`, or nullptr.
  const ServerEntry* Find(std::string_view server) const;

  /// Whether both rows give every key the same owner.
  bool HasSameOwners(const CellRow& other) const;
};

/// Adds `instance` to the formers of `row`, once.
void AddFormer(CellRow& row, const InstanceId& instance);

/// Takes the pair out of the formers: a primary knows its own grants, and a
/// standby is cleared by its echo.
void DropPairFromFormers(CellRow& row);

/// Terms grow by one when the standby takes over and by this stride when a
/// third instance claims the cell, so that the two can never choose the same.
inline constexpr std::uint64_t kClaimTermStride = 1U << 16U;

/// JSON text of `row`, as stored in the table service.
std::string EncodeRow(const CellRow& row);

/// Parses EncodeRow()'s text. Errors: kMessageMalformed.
kernel::Result<CellRow> DecodeRow(std::string_view text);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_ROW_H_
