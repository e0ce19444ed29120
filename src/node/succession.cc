#include "node/succession.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

#include "kernel/json.h"

namespace chervilmux::node {
namespace {

using kernel::Instant;

constexpr std::size_t kAskedTogether = 5;
/// Between two rounds of questions.
constexpr kernel::Duration kRoundPeriod = kernel::milliseconds(300);

}  // namespace

std::string EncodeSuccession(const SuccessionRequest& request) {
  Json::Value json(Json::objectValue);
  json["service"] = request.service;
  json["lease_is_free"] = request.lease_is_free;
  return kernel::PrintJson(json);
}

kernel::Result<SuccessionRequest> DecodeSuccession(std::string_view text) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject() || !json["service"].isString() ||
      !json["lease_is_free"].isBool()) {
    return kernel::Fail(kernel::ErrorKind::kMessageMalformed,
                        "succession: no object with 'service' (text) and "
                        "'lease_is_free' (true or false)");
  }
  return SuccessionRequest{json["service"].asString(),
                           json["lease_is_free"].asBool()};
}

std::string EncodeSuccessionReply(const SuccessionReply& reply) {
  Json::Value json(Json::objectValue);
  json["agrees"] = reply.agrees;
  json["processor_share"] = reply.processor_share;
  return kernel::PrintJson(json);
}

kernel::Result<SuccessionReply> DecodeSuccessionReply(std::string_view text) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject() || !json["agrees"].isBool() ||
      !json["processor_share"].isNumeric()) {
    return kernel::Fail(kernel::ErrorKind::kMessageMalformed,
                        "succession reply: no object with 'agrees' (true or "
                        "false) and 'processor_share' (number)");
  }
  return SuccessionReply{json["agrees"].asBool(),
                         json["processor_share"].asDouble()};
}

std::vector<std::string> Succession::BeginRound(
    std::span<const std::string> instances, Instant now,
    std::mt19937_64& random) {
  std::vector<std::string> chosen;
  std::ranges::sample(instances, std::back_inserter(chosen), kAskedTogether,
                      random);
  this->awaited.insert(chosen.begin(), chosen.end());
  this->next_round_at = now + kRoundPeriod;
  return chosen;
}

void Succession::OnReply(std::string_view instance,
                         const std::optional<SuccessionReply>& reply,
                         Instant now) {
  const auto found = this->awaited.find(instance);
  if (found == this->awaited.end()) return;
  this->awaited.erase(found);
  if (reply && reply->agrees)
    this->agreed.emplace(instance, reply->processor_share);
  if (!this->awaited.empty()) return;
  this->next_round_at = now + kRoundPeriod;
  if (this->agreed.empty()) return;
  this->successor =
      std::ranges::max_element(this->agreed, {}, [](const auto& entry) {
        return entry.second;
      })->first;
}

}  // namespace chervilmux::node
