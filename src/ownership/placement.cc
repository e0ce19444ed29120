#include "ownership/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace chervilmux::ownership {
namespace {

/// The number of values that the upper 53 bits of a hash can have. A double
/// represents each of them exactly.
constexpr double kTwoPow53 = 9007199254740992.0;

/// Finaliser of the 64-bit MurmurHash3: each bit of `value` affects all bits of
/// the result.
std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

/// Maps a uniformly distributed hash to a uniform number in (0, 1).
double ToUnitInterval(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11U) + 0.5) / kTwoPow53;
}

}  // namespace

std::uint64_t HashKey(std::string_view key) {
  return XXH64(key.data(), key.size(), 0);
}

Placement::Placement(const CellRow& row) {
  for (const auto& server : row.servers) {
    if (server.state != ServerState::kIn || server.weight <= 0) continue;
    this->candidates.push_back(
        {server.name, HashKey(server.name), server.weight});
  }
  // An override to a server that is not in state kIn would leave the key
  // without an owner, so the hash determines the owner instead.
  for (const auto& [hash, name] : row.overrides) {
    const ServerEntry* server = row.Find(name);
    if (server == nullptr || server->state != ServerState::kIn) continue;
    this->overrides[hash] = name;
  }
}

std::string_view Placement::OwnerOf(std::uint64_t key_hash) const {
  const auto override_entry = this->overrides.find(key_hash);
  if (override_entry != this->overrides.end()) return override_entry->second;
  std::string_view owner;
  double best_score = -1;
  for (const auto& candidate : this->candidates) {
    const double uniform =
        ToUnitInterval(MixBits(key_hash ^ candidate.name_hash));
    // With this score each server wins a share of the keys that is proportional
    // to its weight.
    const double score = candidate.weight / -std::log(uniform);
    if (score <= best_score) continue;
    best_score = score;
    owner = candidate.name;
  }
  return owner;
}

bool Placement::IsOverridden(std::uint64_t key_hash) const {
  return this->overrides.contains(key_hash);
}

}  // namespace chervilmux::ownership
