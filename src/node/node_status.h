/// \file
/// Defines what an instance tells operators of its view: the configuration, its
/// peers, and for each service the servers and the owners of key ranges.

#ifndef CHERVILMUX_NODE_NODE_STATUS_H_
#define CHERVILMUX_NODE_NODE_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "node/peer_message.h"
#include "policy/server_loads.h"
#include "ranges/range_table.h"

namespace chervilmux::node {

/// The owners of a keyed service in short.
struct OwnersStatus {
  std::string leader;
  std::uint64_t term = 0;
  std::size_t ranges = 0;
  std::size_t moving_ranges = 0;
  std::uint32_t ownerless_keys = 0;
  std::map<std::string, std::uint32_t> keys_by_server;
};

OwnersStatus Summarize(const ranges::RangeTable& owners);

struct ServiceStatus {
  std::string name;
  std::vector<policy::ServerView> servers;
  std::size_t waiting_requests = 0;    ///< For a server, at this instance.
  std::optional<OwnersStatus> owners;  ///< Of a keyed service.
};

struct NodeStatus {
  InstanceRecord self;
  bool ready = false;
  bool stopping = false;
  bool follows_store = false;
  std::uint64_t configuration_version = 0;  ///< 0: none known.
  std::vector<std::string> evacuated_domains;
  std::optional<kernel::Duration> knowledge_age;  ///< Since the store spoke.
  std::size_t open_requests = 0;
  std::vector<InstanceRecord> instances;
  std::vector<ServiceStatus> services;
};

/// The status as JSON; durations are in milliseconds.
std::string EncodeStatus(const NodeStatus& status);

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_NODE_STATUS_H_
