#include "node/peer_message.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::node {
namespace {

kernel::Result<InstanceRecord> InstanceFrom(const Json::Value& json) {
  InstanceRecord record;
  if (json.isObject()) {
    record.name = kernel::StringOr(json, "name");
    record.life = kernel::UintOr(json, "life");
    record.failure_domain = kernel::StringOr(json, "failure_domain");
    record.peer_address = kernel::StringOr(json, "peer_address");
    const Json::Value& share = json["processor_share"];
    if (share.isNumeric() && share.asDouble() > 0)
      record.processor_share = share.asDouble();
  }
  if (record.name.empty() || record.peer_address.empty()) {
    return kernel::Fail(kernel::ErrorKind::kMessageMalformed,
                        "an instance needs a name and an address");
  }
  return record;
}

kernel::Result<Json::Value> ParseObject(std::string_view text) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject()) {
    return kernel::Fail(kernel::ErrorKind::kMessageMalformed, "no object");
  }
  return json;
}

Json::Value ToJson(const store::Row& row) {
  Json::Value json(Json::arrayValue);
  json.append(row.key);
  json.append(row.value);
  json.append(Json::UInt64(row.version));
  json.append(row.removed);
  return json;
}

store::Row RowFrom(const std::string& table, const Json::Value& json) {
  store::Row row;
  row.table = table;
  constexpr Json::ArrayIndex kFields = 4;
  if (!json.isArray() || json.size() != kFields || !json[0].isString() ||
      !json[1].isString() || !json[2].isUInt64() || !json[3].isBool()) {
    return row;  // Version 0: older than anything known.
  }
  row.key = json[0].asString();
  row.value = json[1].asString();
  row.version = json[2].asUInt64();
  row.removed = json[3].asBool();
  return row;
}

/// An array of two unsigned numbers, or zeros.
std::pair<std::uint64_t, std::uint64_t> PairFrom(const Json::Value& json) {
  const bool valid = json.isArray() && json.size() == 2 && json[0].isUInt64() &&
                     json[1].isUInt64();
  return valid ? std::pair(json[0].asUInt64(), json[1].asUInt64())
               : std::pair<std::uint64_t, std::uint64_t>(0, 0);
}

Json::Value ToJson(const Departure& departure) {
  Json::Value json(Json::arrayValue);
  json.append(departure.id);
  json.append(Json::UInt64(departure.life));
  json.append(Json::UInt64(departure.report_number));
  json.append(departure.left);
  return json;
}

std::optional<Departure> DepartureFrom(const Json::Value& json) {
  constexpr Json::ArrayIndex kFields = 4;
  if (!json.isArray() || json.size() != kFields || !json[0].isString() ||
      !json[1].isUInt64() || !json[2].isUInt64() || !json[3].isBool()) {
    return std::nullopt;
  }
  return Departure{json[0].asString(), json[1].asUInt64(), json[2].asUInt64(),
                   json[3].asBool()};
}

/// Milliseconds, or -1 for "unknown".
std::int64_t MsFrom(const Json::Value& json) {
  constexpr std::int64_t kLongest = kernel::ToMs(kernel::kLongestDuration);
  const bool valid =
      json.isInt64() && json.asInt64() >= 0 && json.asInt64() <= kLongest;
  return valid ? json.asInt64() : -1;
}

Json::Value ToJson(const TableProof& proof) {
  Json::Value json(Json::arrayValue);
  json.append(Json::UInt64(proof.as_of.era));
  json.append(Json::UInt64(proof.as_of.version));
  json.append(Json::Int64(proof.age_ms));
  if (proof.failed_ms_ago) json.append(Json::Int64(*proof.failed_ms_ago));
  return json;
}

std::optional<TableProof> ProofFrom(const Json::Value& json) {
  constexpr Json::ArrayIndex kFields = 3;
  if (!json.isArray() || json.size() < kFields || !json[0].isUInt64() ||
      !json[1].isUInt64()) {
    return std::nullopt;
  }
  TableProof proof;
  proof.as_of = {json[0].asUInt64(), json[1].asUInt64()};
  proof.age_ms = MsFrom(json[2]);
  if (proof.age_ms < 0) return std::nullopt;
  if (json.size() > kFields) {
    proof.failed_ms_ago = MsFrom(json[kFields]);
    if (*proof.failed_ms_ago < 0) return std::nullopt;
  }
  return proof;
}

Json::Value ToJson(const NoticeToLeader& notice) {
  Json::Value json(Json::arrayValue);
  json.append(notice.server.id);
  json.append(Json::UInt64(notice.server.life));
  json.append(Json::Int64(notice.age_ms));
  if (notice.back_off_ms) json.append(Json::Int64(*notice.back_off_ms));
  return json;
}

/// Nothing for what is malformed or belongs to a later build.
std::optional<NoticeToLeader> NoticeFrom(const Json::Value& json) {
  constexpr Json::ArrayIndex kFields = 3;
  const bool has_fields = json.isArray() && json.size() >= kFields &&
                          json.size() <= kFields + 1 && json[0].isString() &&
                          json[1].isUInt64();
  if (!has_fields) return std::nullopt;
  NoticeToLeader notice;
  notice.server = {json[0].asString(), json[1].asUInt64()};
  notice.age_ms = MsFrom(json[2]);
  const bool has_id =
      !notice.server.id.empty() && notice.server.id.size() <= kMaxNoticeIdBytes;
  if (!has_id || notice.age_ms < 0) return std::nullopt;
  if (json.size() > kFields) {
    notice.back_off_ms = MsFrom(json[kFields]);
    if (*notice.back_off_ms < 0) return std::nullopt;
  }
  return notice;
}

/// At most kMaxNoticesPerSync of them.
std::map<std::string, std::vector<NoticeToLeader>> NoticesFrom(
    const Json::Value& json) {
  std::map<std::string, std::vector<NoticeToLeader>> notices;
  if (!json.isObject()) return notices;
  std::size_t count = 0;
  for (const auto& service : json.getMemberNames()) {
    for (const auto& item : json[service]) {
      auto notice = NoticeFrom(item);
      if (!notice) continue;
      if (++count > kMaxNoticesPerSync) return notices;
      notices[service].push_back(std::move(*notice));
    }
  }
  return notices;
}

Json::Value PairToJson(std::uint64_t first, std::uint64_t second) {
  Json::Value json(Json::arrayValue);
  json.append(Json::UInt64(first));
  json.append(Json::UInt64(second));
  return json;
}

}  // namespace

Json::Value ToJson(const InstanceRecord& record) {
  Json::Value json(Json::objectValue);
  json["name"] = record.name;
  json["life"] = Json::UInt64(record.life);
  json["failure_domain"] = record.failure_domain;
  json["peer_address"] = record.peer_address;
  json["processor_share"] = record.processor_share;
  return json;
}

std::string EncodeInstance(const InstanceRecord& record) {
  return kernel::PrintJson(ToJson(record));
}

kernel::Result<InstanceRecord> DecodeInstance(std::string_view text) {
  BOOST_OUTCOME_TRY(json, ParseObject(text));
  return InstanceFrom(json);
}

std::string EncodeSync(const SyncRequest& request) {
  Json::Value json(Json::objectValue);
  json["sender"] = ToJson(request.sender);
  Json::Value& tables = json["tables"] = Json::Value(Json::objectValue);
  Json::Value& eras = json["eras"] = Json::Value(Json::objectValue);
  for (const auto& [table, as_of] : request.table_versions) {
    tables[table] = Json::UInt64(as_of.version);
    eras[table] = Json::UInt64(as_of.era);
  }
  Json::Value& views = json["views"] = Json::Value(Json::objectValue);
  for (const auto& [service, version] : request.view_versions) {
    views[service] = PairToJson(version.first, version.second);
  }
  for (const auto& [service, counts] : request.key_load) {
    Json::Value& load = json["key_load"][service] =
        Json::Value(Json::arrayValue);
    for (const auto& count : counts) {
      load.append(PairToJson(count.bucket, count.requests));
    }
  }
  if (request.configuration_version) {
    json["configuration_version"] =
        Json::UInt64(*request.configuration_version);
  }
  for (const auto& [service, notices] : request.notices) {
    Json::Value& items = json["notices"][service] =
        Json::Value(Json::arrayValue);
    for (const auto& notice : notices) items.append(ToJson(notice));
  }
  return kernel::PrintJson(json);
}

kernel::Result<SyncRequest> DecodeSync(std::string_view text) {
  BOOST_OUTCOME_TRY(json, ParseObject(text));
  SyncRequest request;
  BOOST_OUTCOME_TRY(parsed_sender, InstanceFrom(json["sender"]));
  request.sender = std::move(parsed_sender);
  const Json::Value& tables = json["tables"];
  // Absent from older builds, which know no eras.
  const Json::Value& eras = json["eras"];
  if (tables.isObject()) {
    for (const auto& table : tables.getMemberNames()) {
      replica::TableVersion& as_of = request.table_versions[table];
      as_of.version = kernel::UintOr(tables, table.c_str());
      if (eras.isObject()) as_of.era = kernel::UintOr(eras, table.c_str());
    }
  }
  const Json::Value& views = json["views"];
  if (views.isObject()) {
    for (const auto& service : views.getMemberNames()) {
      request.view_versions[service] = PairFrom(views[service]);
    }
  }
  if (json["configuration_version"].isUInt64()) {
    request.configuration_version = json["configuration_version"].asUInt64();
  }
  const Json::Value& load = json["key_load"];
  if (load.isObject()) {
    for (const auto& service : load.getMemberNames()) {
      for (const auto& item : load[service]) {
        const auto [bucket, requests] = PairFrom(item);
        if (bucket >= ranges::kBucketCount ||
            requests > std::numeric_limits<std::uint32_t>::max()) {
          continue;
        }
        request.key_load[service].push_back(
            {static_cast<std::uint16_t>(bucket),
             static_cast<std::uint32_t>(requests)});
      }
    }
  }
  request.notices = NoticesFrom(json["notices"]);
  return request;
}

std::string EncodeSyncReply(const SyncReply& reply) {
  Json::Value json(Json::objectValue);
  for (const auto& [table, changes] : reply.tables) {
    Json::Value& item = json["tables"][table] = Json::Value(Json::objectValue);
    item["era"] = Json::UInt64(changes.as_of.era);
    item["version"] = Json::UInt64(changes.as_of.version);
    item["all"] = changes.all;
    Json::Value& rows = item["rows"] = Json::Value(Json::arrayValue);
    for (const auto& row : changes.rows) rows.append(ToJson(row));
  }
  for (const auto& view : reply.views) {
    json["views"].append(ranges::EncodeTable(view));
  }
  if (!reply.configuration.empty()) json["configuration"] = reply.configuration;
  for (const auto& departure : reply.departures) {
    json["departures"].append(ToJson(departure));
  }
  for (const auto& service : reply.leads) json["leads"].append(service);
  for (const auto& [service, age_ms] : reply.leader_heard_ms_ago)
    json["leader_heard_ms_ago"][service] = Json::Int64(age_ms);
  for (const auto& [table, proof] : reply.proofs)
    json["proofs"][table] = ToJson(proof);
  json["store_trouble_ms_ago"] = Json::Int64(reply.store_trouble_ms_ago);
  json["knowledge_age_ms"] = Json::Int64(reply.knowledge_age_ms);
  json["knowledge_era"] = Json::UInt64(reply.knowledge_era);
  return kernel::PrintJson(json);
}

kernel::Result<SyncReply> DecodeSyncReply(std::string_view text) {
  BOOST_OUTCOME_TRY(json, ParseObject(text));
  SyncReply reply;
  const Json::Value& tables = json["tables"];
  if (tables.isObject()) {
    for (const auto& table : tables.getMemberNames()) {
      const Json::Value& item = tables[table];
      if (!item.isObject()) continue;
      TableChanges& changes = reply.tables[table];
      changes.as_of.era = kernel::UintOr(item, "era");
      changes.as_of.version = kernel::UintOr(item, "version");
      changes.all = item["all"].isBool() && item["all"].asBool();
      for (const auto& row : item["rows"]) {
        changes.rows.push_back(RowFrom(table, row));
      }
    }
  }
  for (const auto& view : json["views"]) {
    if (!view.isString()) continue;
    BOOST_OUTCOME_TRY(table, ranges::DecodeTable(view.asString()));
    reply.views.push_back(std::move(table));
  }
  reply.configuration = kernel::StringOr(json, "configuration");
  for (const auto& item : json["departures"]) {
    if (auto departure = DepartureFrom(item)) {
      reply.departures.push_back(std::move(*departure));
    }
  }
  for (const auto& service : json["leads"]) {
    if (service.isString()) reply.leads.push_back(service.asString());
  }
  const Json::Value& heard = json["leader_heard_ms_ago"];
  if (heard.isObject()) {
    for (const auto& service : heard.getMemberNames()) {
      const std::int64_t age_ms = MsFrom(heard[service]);
      if (age_ms >= 0) reply.leader_heard_ms_ago[service] = age_ms;
    }
  }
  const Json::Value& proofs = json["proofs"];
  if (proofs.isObject()) {
    for (const auto& table : proofs.getMemberNames()) {
      if (const auto proof = ProofFrom(proofs[table]))
        reply.proofs[table] = *proof;
    }
  }
  reply.store_trouble_ms_ago = MsFrom(json["store_trouble_ms_ago"]);
  reply.knowledge_age_ms = MsFrom(json["knowledge_age_ms"]);
  reply.knowledge_era = kernel::UintOr(json, "knowledge_era");
  return reply;
}

}  // namespace chervilmux::node
