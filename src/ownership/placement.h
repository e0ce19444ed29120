/// \file
/// Defines placement: which backend server of a cell owns a key.
///
/// Placement uses weighted rendezvous hashing: each server gets a score from
/// the key's hash, its own name and its weight, and the server with the highest
/// score owns the key. A change of one server's weight or state moves only keys
/// from or to that server, and nothing is stored per key. An override assigns
/// one key hash to a server directly, so that a hot key can be moved alone.

#ifndef CHERVILMUX_OWNERSHIP_PLACEMENT_H_
#define CHERVILMUX_OWNERSHIP_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/row.h"

namespace chervilmux::ownership {

/// Returns the hash that determines the placement of `key`.
std::uint64_t HashKey(std::string_view key);

/// Determines the owner of each key according to one cell row. Holds hashes of
/// the server names so that a query costs one multiplication and one logarithm
/// per server.
class Placement {
 public:
  Placement() = default;
  explicit Placement(const CellRow& row);

  /// Returns the name of the server that owns the key with hash `key_hash`, or
  /// an empty view when no server owns keys (has ServerState::kIn). The
  /// returned view is valid as long as this object.
  std::string_view OwnerOf(std::uint64_t key_hash) const;

  /// Returns whether an override determines the owner of `key_hash`.
  bool IsOverridden(std::uint64_t key_hash) const;

 private:
  struct Candidate {
    std::string name;
    std::uint64_t name_hash;
    double weight;
  };

  std::vector<Candidate> candidates;
  std::map<std::uint64_t, std::string> overrides;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_PLACEMENT_H_
