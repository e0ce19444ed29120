/// \file
/// Defines the mapping from a key to the cell that owns it:
/// key -> hash -> shard -> cell.

#ifndef CHERVILMUX_ROUTING_CELL_ID_H_
#define CHERVILMUX_ROUTING_CELL_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "config/manifest.h"

namespace chervilmux::routing {

/// Returns `key_hash` modulo the shard count of `service`.
unsigned ShardForKey(std::uint64_t key_hash, const config::Service& service);

/// Returns the name of the cell of `service` in `failure_domain`.
std::string MakeCellName(std::string_view service,
                         std::string_view failure_domain);

/// Returns the name of the cell that owns the key with this hash. Shard numbers
/// are assigned round robin to the failure domains of the service. The list of
/// failure domains is fixed when the service is created.
std::string CellNameForKey(std::uint64_t key_hash,
                           const config::Service& service);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_CELL_ID_H_
