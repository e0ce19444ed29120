/// \file
/// Defines how a key leads to its cell: key -> hash -> shard -> cell.

#ifndef CHERVILMUX_ROUTING_CELL_ID_H_
#define CHERVILMUX_ROUTING_CELL_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "config/manifest.h"

namespace chervilmux::routing {

/// The shard of a key hash: its remainder by the service's shard count.
unsigned ShardForKey(std::uint64_t key_hash, const config::Service& service);

/// Name of the cell of `service` in `failure_domain`.
std::string MakeCellName(std::string_view service,
                         std::string_view failure_domain);

/// Name of the cell that owns the key with this hash. Shards go round the
/// service's failure domains, whose list is fixed when the service is created.
std::string CellNameForKey(std::uint64_t key_hash,
                           const config::Service& service);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_CELL_ID_H_
