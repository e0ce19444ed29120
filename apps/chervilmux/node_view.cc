#include "node_view.h"

#include <iomanip>
#include <iostream>
#include <string>
#include <utility>

#include "blocking_call.h"
#include "kernel/json.h"
#include "kernel/task.h"
#include "net/http_client.h"

namespace chervilmux::command {
namespace {

/// An instance answers within milliseconds unless it is stuck.
constexpr kernel::Duration kStatusTimeout = kernel::seconds(3);

net::TransferResult Get(const std::string& url) {
  kernel::ReactorTask task;
  net::HttpClient client(task, 1);
  task.Start();
  auto result =
      WaitForReply<net::TransferResult>(task, [&client, &url](auto done) {
        net::TransferOptions options;
        options.deadline = kernel::Now() + kStatusTimeout;
        options.may_repeat = true;
        client.Start({"GET", url, {}, ""}, options, std::move(done));
      });
  task.Stop();
  return result;
}

void PrintServer(const Json::Value& server, const Json::Value& owners) {
  std::cout << "    " << std::left << std::setw(20) << server["id"].asString()
            << server["address"].asString() << "  "
            << server["failure_domain"].asString() << "  load " << std::fixed
            << std::setprecision(1) << server["load"].asDouble() << " of "
            << server["slots"].asUInt() << " slots, speed "
            << server["relative_speed"].asDouble() << ", pace "
            << server["pace"].asDouble();
  const Json::Value& keys = owners["keys_by_server"];
  const std::string id = server["id"].asString();
  if (keys.isMember(id)) std::cout << ", keys " << keys[id].asUInt();
  if (server["draining"].asBool()) std::cout << ", draining";
  if (server["evacuated"].asBool()) std::cout << ", evacuated";
  if (server["cold"].asBool()) std::cout << ", cold";
  const auto aside_ms = server["set_aside_ms"].asInt64();
  if (aside_ms > 0) std::cout << ", set aside for " << aside_ms << " ms";
  std::cout << "\n";
}

void PrintService(const Json::Value& service) {
  const Json::Value& owners = service["owners"];
  std::cout << "service " << service["name"].asString();
  if (owners.isObject()) {
    std::cout << " owners by " << owners["leader"].asString() << " term "
              << owners["term"].asUInt64() << ", " << owners["ranges"].asUInt()
              << " ranges, " << owners["moving_ranges"].asUInt() << " moving, "
              << owners["ownerless_keys"].asUInt() << " keys without an owner";
  }
  std::cout << "\n";
  for (const auto& server : service["servers"]) PrintServer(server, owners);
}

}  // namespace

std::optional<Json::Value> FetchNodeStatus(const net::Address& address) {
  const auto result = Get("http://" + address.ToString() + "/status");
  if (result.end != net::TransferEnd::kComplete) return std::nullopt;
  if (result.answer.status != 200) return std::nullopt;
  auto status = kernel::ParseJson(result.answer.body);
  if (!status || !status.value().isObject()) return std::nullopt;
  return std::move(status).value();
}

void PrintNodeStatus(const Json::Value& status) {
  std::cout << "instance " << status["name"].asString() << " "
            << status["failure_domain"].asString()
            << (status["ready"].asBool() ? " ready" : " not ready")
            << (status["stopping"].asBool() ? " stopping" : "")
            << (status["follows_store"].asBool() ? " follows the store" : "")
            << "\nconfiguration version "
            << status["configuration_version"].asUInt64()
            << ", knowledge of the store "
            << status["knowledge_age_ms"].asInt64() << " ms old, "
            << status["open_requests"].asUInt64() << " open requests\n";
  for (const auto& domain : status["evacuated_domains"])
    std::cout << "evacuated " << domain.asString() << "\n";
  for (const auto& instance : status["instances"]) {
    std::cout << "peer " << instance["name"].asString() << " "
              << instance["failure_domain"].asString() << " "
              << instance["peer_address"].asString() << "\n";
  }
  for (const auto& service : status["services"]) PrintService(service);
}

}  // namespace chervilmux::command
