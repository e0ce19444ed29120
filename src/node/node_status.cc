#include "node/node_status.h"

#include "kernel/json.h"

namespace chervilmux::node {
namespace {

Json::Value ToJson(const policy::ServerView& server) {
  Json::Value json(Json::objectValue);
  json["id"] = server.id;
  json["address"] = server.address.ToString();
  json["failure_domain"] = server.failure_domain;
  json["draining"] = server.draining;
  json["evacuated"] = server.evacuated;
  json["cold"] = server.cold;
  json["set_aside_ms"] = Json::Int64(kernel::ToMs(server.ejected_for));
  json["slots"] = server.slots;
  json["load"] = server.load;
  json["relative_speed"] = server.relative_speed;
  json["pace"] = server.pace;
  return json;
}

Json::Value ToJson(const OwnersStatus& owners) {
  Json::Value json(Json::objectValue);
  json["leader"] = owners.leader;
  json["term"] = Json::UInt64(owners.term);
  json["ranges"] = Json::UInt64(owners.ranges);
  json["moving_ranges"] = Json::UInt64(owners.moving_ranges);
  json["ownerless_keys"] = owners.ownerless_keys;
  json["keys_by_server"] = Json::Value(Json::objectValue);
  for (const auto& [server, keys] : owners.keys_by_server) {
    json["keys_by_server"][server] = keys;
  }
  return json;
}

Json::Value ToJson(const ServiceStatus& service) {
  Json::Value json(Json::objectValue);
  json["name"] = service.name;
  json["servers"] = Json::Value(Json::arrayValue);
  for (const auto& server : service.servers) {
    json["servers"].append(ToJson(server));
  }
  json["waiting_requests"] = Json::UInt64(service.waiting_requests);
  if (service.owners) json["owners"] = ToJson(*service.owners);
  return json;
}

}  // namespace

OwnersStatus Summarize(const ranges::RangeTable& owners) {
  OwnersStatus status;
  status.leader = owners.leader;
  status.term = owners.term;
  status.ranges = owners.ranges.size();
  for (const auto& range : owners.ranges) {
    const std::uint32_t keys = range.last - range.first + 1U;
    if (range.moving) status.moving_ranges += 1;
    if (range.owner.empty()) {
      status.ownerless_keys += keys;
    } else {
      status.keys_by_server[range.owner] += keys;
    }
  }
  return status;
}

std::string EncodeStatus(const NodeStatus& status) {
  Json::Value json = ToJson(status.self);
  json["ready"] = status.ready;
  json["stopping"] = status.stopping;
  json["follows_store"] = status.follows_store;
  json["configuration_version"] = Json::UInt64(status.configuration_version);
  json["knowledge_age_ms"] = Json::Int64(
      status.knowledge_age ? kernel::ToMs(*status.knowledge_age) : -1);
  json["open_requests"] = Json::UInt64(status.open_requests);
  json["evacuated_domains"] = Json::Value(Json::arrayValue);
  for (const auto& domain : status.evacuated_domains)
    json["evacuated_domains"].append(domain);
  json["instances"] = Json::Value(Json::arrayValue);
  for (const auto& instance : status.instances) {
    json["instances"].append(ToJson(instance));
  }
  json["services"] = Json::Value(Json::arrayValue);
  for (const auto& service : status.services) {
    json["services"].append(ToJson(service));
  }
  return kernel::PrintJson(json) + "\n";
}

}  // namespace chervilmux::node
