#include "ownership/row.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::ownership {
namespace {

using kernel::ErrorKind;
using kernel::Fail;
using kernel::Result;

Json::Value ToJson(const InstanceId& id) {
  Json::Value value(Json::objectValue);
  value["name"] = id.name;
  value["incarnation"] = Json::UInt64{id.incarnation};
  return value;
}

InstanceId InstanceFromJson(const Json::Value& value) {
  return {kernel::StringOr(value, "name"),
          kernel::UintOr(value, "incarnation")};
}

Json::Value ToJson(const ServerEntry& server) {
  Json::Value value(Json::objectValue);
  value["name"] = server.name;
  value["state"] = static_cast<unsigned>(server.state);
  value["weight"] = server.weight;
  return value;
}

Result<ServerEntry> ServerFromJson(const Json::Value& value) {
  ServerEntry server;
  server.name = kernel::StringOr(value, "name");
  // 99 is no valid state, so a missing state is refused below.
  const std::uint64_t state = kernel::UintOr(value, "state", 99);
  if (server.name.empty() || state > 2 || !value["weight"].isNumeric()) {
    return Fail(ErrorKind::kMessageMalformed,
                "invalid server entry in cell row");
  }
  server.state = static_cast<ServerState>(state);
  server.weight = value["weight"].asDouble();
  return server;
}

/// Returns name and weight of the servers that own keys. Placement depends on
/// nothing else of the server entries.
std::vector<std::pair<std::string_view, double>> OwningServers(
    const CellRow& row) {
  std::vector<std::pair<std::string_view, double>> owning_servers;
  for (const auto& server : row.servers) {
    if (server.state != ServerState::kIn) continue;
    owning_servers.emplace_back(server.name, server.weight);
  }
  return owning_servers;
}

}  // namespace

const ServerEntry* CellRow::Find(std::string_view server) const {
  const auto found = std::ranges::lower_bound(
      this->servers, server, {},
      [](const ServerEntry& entry) { return std::string_view(entry.name); });
  if (found == this->servers.end() || found->name != server) return nullptr;
  return &*found;
}

bool CellRow::HasSameOwners(const CellRow& other) const {
  return this->overrides == other.overrides &&
         OwningServers(*this) == OwningServers(other);
}

void AddFormerMember(CellRow& row, const InstanceId& instance) {
  if (instance.Empty()) return;
  const auto existing = std::ranges::find(row.formers, instance);
  if (existing == row.formers.end()) row.formers.push_back(instance);
}

void RemoveMembersFromFormers(CellRow& row) {
  std::erase(row.formers, row.primary);
  std::erase(row.formers, row.standby);
}

std::string EncodeRow(const CellRow& row) {
  Json::Value value(Json::objectValue);
  value["term"] = Json::UInt64{row.version.term};
  value["sequence"] = Json::UInt64{row.version.sequence};
  value["primary"] = ToJson(row.primary);
  value["standby"] = ToJson(row.standby);
  value["writer"] = row.writer;
  value["formers"] = Json::Value(Json::arrayValue);
  for (const auto& former : row.formers)
    value["formers"].append(ToJson(former));
  value["servers"] = Json::Value(Json::arrayValue);
  for (const auto& server : row.servers)
    value["servers"].append(ToJson(server));
  value["overrides"] = Json::Value(Json::objectValue);
  for (const auto& [hash, server] : row.overrides) {
    value["overrides"][std::to_string(hash)] = server;
  }
  return kernel::PrintJson(value);
}

Result<CellRow> DecodeRow(std::string_view text) {
  BOOST_OUTCOME_TRY(value, kernel::ParseJson(text));
  if (!value.isObject() || !value["servers"].isArray()) {
    return Fail(ErrorKind::kMessageMalformed,
                "cell row is not a JSON object with a list of servers");
  }
  CellRow row;
  row.version = {kernel::UintOr(value, "term"),
                 kernel::UintOr(value, "sequence")};
  row.primary = InstanceFromJson(value["primary"]);
  row.standby = InstanceFromJson(value["standby"]);
  row.writer = kernel::StringOr(value, "writer");
  for (const auto& former : value["formers"]) {
    row.formers.push_back(InstanceFromJson(former));
  }
  for (const auto& entry : value["servers"]) {
    BOOST_OUTCOME_TRY(server, ServerFromJson(entry));
    row.servers.push_back(std::move(server));
  }
  std::ranges::sort(row.servers, {}, &ServerEntry::name);
  const auto& overrides = value["overrides"];
  if (!overrides.isNull() && !overrides.isObject()) {
    return Fail(ErrorKind::kMessageMalformed,
                "the overrides in a cell row are not a JSON object");
  }
  for (const auto& text_of_hash : overrides.getMemberNames()) {
    std::uint64_t hash = 0;
    const char* end = text_of_hash.data() + text_of_hash.size();
    const auto parsed = std::from_chars(text_of_hash.data(), end, hash);
    const Json::Value& server = overrides[text_of_hash];
    if (parsed.ec != std::errc() || parsed.ptr != end || !server.isString()) {
      return Fail(ErrorKind::kMessageMalformed,
                  "override in cell row: not a key hash and a server's name");
    }
    row.overrides[hash] = server.asString();
  }
  return row;
}

}  // namespace chervilmux::ownership
