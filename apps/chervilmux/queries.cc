#include "queries.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kernel/json.h"
#include "rpc_client.h"

namespace chervilmux::command {
namespace {

constexpr std::int64_t kSilentMs = 3000;

/// Calls one method; prints why and returns nothing when it fails.
std::optional<Json::Value> Call(const std::string& address,
                                const std::string& method,
                                const Json::Value& parameters) {
  Json::Value result;
  std::string problem;
  if (CallRpc(address, method, parameters, result, problem)) return result;
  std::cerr << "chervilmux: " << address << ": " << problem << "\n";
  return std::nullopt;
}

std::optional<Json::Value> Call(const std::string& address,
                                const std::string& method) {
  return Call(address, method, Json::Value(Json::objectValue));
}

/// Operator addresses of `instance` and of all live peers it knows.
std::vector<std::string> AllInstances(const net::Address& instance) {
  std::vector<std::string> addresses = {instance.ToString()};
  const auto status = Call(instance.ToString(), "status");
  if (!status) return {};
  for (const auto& peer : (*status)["peers"]) {
    const bool silent = peer["silent_ms"].asInt64() < 0 ||
                        peer["silent_ms"].asInt64() > kSilentMs;
    if (!silent) addresses.push_back(peer["operator_address"].asString());
  }
  return addresses;
}

struct Spelling {
  std::uint64_t count = 0;
  std::string suggestion;
};

void PrintCorrections(const std::map<std::string, Spelling>& spellings) {
  std::map<std::string, std::vector<std::string>> aliases;
  for (const auto& [spelling, entry] : spellings) {
    if (entry.suggestion.empty()) continue;
    aliases[entry.suggestion].push_back(spelling);
  }
  if (aliases.empty()) return;
  std::cout << "\nCorrections to review and paste into the manifest:\n";
  for (const auto& [service, list] : aliases) {
    Json::Value values(Json::arrayValue);
    for (const auto& spelling : list) values.append(spelling);
    std::cout << "  service " << service
              << ": add to \"aliases\": " << kernel::PrintJson(values) << "\n";
  }
}

}  // namespace

int PrintStatus(const net::Address& instance) {
  const auto status = Call(instance.ToString(), "status");
  if (!status) return 1;
  std::cout << "manifest revision " << (*status)["manifest_revision"].asUInt64()
            << "\n";
  for (const auto& cell : (*status)["cells"]) {
    std::cout << std::left << std::setw(24) << cell["cell"].asString()
              << std::setw(9) << cell["role"].asString() << " primary "
              << cell["primary"].asString() << " standby "
              << cell["standby"].asString() << " epoch "
              << cell["term"].asUInt64() << "." << cell["sequence"].asUInt64()
              << (cell["moving"].asBool() ? " moving" : "") << "\n";
    for (const auto& server : cell["servers"].getMemberNames()) {
      std::cout << "    " << server << " " << cell["servers"][server].asString()
                << "\n";
    }
  }
  for (const auto& peer : (*status)["peers"]) {
    std::cout << "peer " << peer["name"].asString() << " "
              << peer["failure_domain"].asString() << " revision "
              << peer["manifest_revision"].asUInt64() << " silent "
              << peer["silent_ms"].asInt64() << " ms"
              << (peer["leaving"].asBool() ? " leaving" : "") << "\n";
  }
  return 0;
}

int PrintExplanation(const net::Address& instance, const std::string& service,
                     const std::string& key) {
  Json::Value parameters(Json::objectValue);
  parameters["service"] = service;
  parameters["key"] = key;
  // The primary of the key's cell knows best; others may know no row at all.
  std::optional<Json::Value> best;
  for (const auto& address : AllInstances(instance)) {
    auto answer = Call(address, "explain", parameters);
    if (!answer) continue;
    const bool is_primary = (*answer)["role_here"].asString() == "primary";
    if (!best || is_primary) best = std::move(answer);
    if (is_primary) break;
  }
  if (!best) return 1;
  for (const auto& name : best->getMemberNames()) {
    std::cout << name << ": " << kernel::PrintJson((*best)[name]) << "\n";
  }
  return 0;
}

int PrintNames(const net::Address& instance) {
  std::map<std::string, Spelling> spellings;
  const auto addresses = AllInstances(instance);
  if (addresses.empty()) return 1;
  for (const auto& address : addresses) {
    const auto names = Call(address, "names");
    if (!names) continue;
    for (const auto& entry : *names) {
      Spelling& sum = spellings[entry["spelling"].asString()];
      sum.count += entry["count"].asUInt64();
      sum.suggestion = entry["suggestion"].asString();
    }
  }
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(spellings.size());
  for (const auto& [spelling, entry] : spellings) {
    ranked.emplace_back(entry.count, spelling);
  }
  std::ranges::sort(ranked, std::greater());
  for (const auto& [count, spelling] : ranked) {
    std::cout << std::right << std::setw(8) << count << "  "
              << kernel::PrintJson(spelling) << "  "
              << spellings[spelling].suggestion << "\n";
  }
  PrintCorrections(spellings);
  return 0;
}

int Drain(const net::Address& instance, const std::string& name) {
  const auto status = Call(instance.ToString(), "status");
  if (!status) return 1;
  for (const auto& peer : (*status)["peers"]) {
    if (peer["name"].asString() != name) continue;
    const auto answer = Call(peer["operator_address"].asString(), "drain");
    if (!answer) return 1;
    std::cout << name << " is draining\n";
    return 0;
  }
  std::cerr << "chervilmux: " << instance.ToString()
            << " knows no other instance called '" << name
            << "'; ask another instance, or stop a server by the manifest\n";
  return 1;
}

}  // namespace chervilmux::command
