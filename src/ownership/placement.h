/// \file
/// Defines placement: which backend server of a cell owns a key.
///
/// Weighted rendezvous hashing: each server gets a score from the key's hash,
/// its own name and its weight, and the highest score owns. A change of one
/// server's weight or state moves only keys from or to that server, and nothing
/// is stored per key. An override names the owner of one key hash outright; it
/// is how a hot key is moved by itself.

#ifndef CHERVILMUX_OWNERSHIP_PLACEMENT_H_
#define CHERVILMUX_OWNERSHIP_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/row.h"

namespace chervilmux::ownership {

/// The hash by which a key is placed.
std::uint64_t HashKey(std::string_view key);

/// IsResponding owner queries for one row. Holds hashes of the server names so
/// that a query costs one multiplication and one logarithm per server.
class Placement {
 public:
  Placement() = default;
  explicit Placement(const CellRow& row);

  /// Name of the server that owns the key with hash `key_hash`, or an empty
  /// view when no server is in. The view lives as long as this object.
  std::string_view OwnerOf(std::uint64_t key_hash) const;

  /// Whether an override, not the hash, decides the owner of `key_hash`.
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
