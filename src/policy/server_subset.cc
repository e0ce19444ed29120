#include "policy/server_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace chervilmux::policy {
namespace {

/// Enough to bear losses and to choose by load.
constexpr std::size_t kMinSubset = 8;
/// The number of subsets that a server is in, where the minimum is too few.
constexpr std::size_t kSubsetsOfServer = 4;

std::uint64_t HashOf(std::string_view id) {
  return XXH64(id.data(), id.size(), 0);
}

}  // namespace

std::vector<std::string_view> ServerSubset(std::vector<std::string_view> ids,
                                           const SubsetPosition& position) {
  const std::size_t instances = std::max<std::size_t>(1, position.instances);
  const std::size_t servers = ids.size();
  const std::size_t size = std::max(
      kMinSubset, (kSubsetsOfServer * servers + instances - 1) / instances);
  if (size >= servers) return ids;
  std::ranges::sort(ids, {}, HashOf);
  const std::size_t first = position.index % instances * servers / instances;
  std::rotate(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(first),
              ids.end());
  ids.resize(size);
  return ids;
}

}  // namespace chervilmux::policy
