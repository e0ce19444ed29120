#include "routing/cell_id.h"

namespace chervilmux::routing {

unsigned ShardForKey(std::uint64_t key_hash, const config::Service& service) {
  return static_cast<unsigned>(key_hash % service.shards);
}

std::string MakeCellName(std::string_view service,
                         std::string_view failure_domain) {
  return std::string(service) + "@" + std::string(failure_domain);
}

std::string CellNameForKey(std::uint64_t key_hash,
                           const config::Service& service) {
  const auto& domains = service.failure_domains;
  const unsigned shard = ShardForKey(key_hash, service);
  return MakeCellName(service.name, domains[shard % domains.size()]);
}

}  // namespace chervilmux::routing
