#include "operators/operator_front.h"

#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <utility>

#include "control/control_task.h"
#include "kernel/json.h"
#include "observe/metrics.h"
#include "routing/cell_id.h"
#include "routing/router_task.h"

namespace chervilmux::operators {
namespace {

constexpr std::chrono::seconds kTaskTimeout(2);
constexpr std::size_t kSuggestions = 1;

/// Asks a task and waits for what it calls back with.
template <typename Answer, typename Ask>
Answer AskTask(Ask ask) {
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  ask([promise](Answer answer) { promise->set_value(std::move(answer)); });
  if (future.wait_for(kTaskTimeout) != std::future_status::ready) {
    throw jsonrpc::JsonRpcException(-32000, "the instance is too busy");
  }
  return future.get();
}

Json::Value ToJson(const control::CellStatus& cell) {
  Json::Value value(Json::objectValue);
  value["cell"] = cell.cell;
  value["role"] = cell.role;
  value["term"] = Json::UInt64{cell.row.version.term};
  value["sequence"] = Json::UInt64{cell.row.version.sequence};
  value["primary"] = cell.row.primary.name;
  value["standby"] = cell.row.standby.name;
  value["moving"] = cell.moving;
  static constexpr const char* kStates[] = {"in", "draining", "out"};
  for (const auto& server : cell.row.servers) {
    value["servers"][server.name] =
        kStates[static_cast<std::size_t>(server.state)];
  }
  return value;
}

}  // namespace

/// Hands request texts that our own HTTP server received to libjsonrpccpp.
class OperatorFront::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }

  std::string Handle(const std::string& request) {
    std::string response;
    this->OnRequest(request, &response);
    return response;
  }
};

/// The JSON-RPC methods.
class OperatorFront::Rpc : public jsonrpc::AbstractServer<OperatorFront::Rpc> {
 public:
  Rpc(Connector& connector, const kernel::Registry& registry,
      std::function<void()> drain)
      : AbstractServer(connector),
        control(registry.Find<control::ControlTask>(
            control::ControlTask::kServiceName)),
        router(registry.Find<routing::RouterTask>(
            routing::RouterTask::kServiceName)),
        drain(std::move(drain)) {
    using jsonrpc::JSON_ARRAY;
    using jsonrpc::JSON_OBJECT;
    using jsonrpc::JSON_STRING;
    using jsonrpc::PARAMS_BY_NAME;
    using jsonrpc::Procedure;
    this->bindAndAddMethod(
        Procedure("status", PARAMS_BY_NAME, JSON_OBJECT, nullptr),
        &Rpc::Status);
    this->bindAndAddMethod(
        Procedure("explain", PARAMS_BY_NAME, JSON_OBJECT, "service",
                  JSON_STRING, "key", JSON_STRING, nullptr),
        &Rpc::Explain);
    this->bindAndAddMethod(
        Procedure("names", PARAMS_BY_NAME, JSON_ARRAY, nullptr), &Rpc::Names);
    this->bindAndAddMethod(
        Procedure("manifest", PARAMS_BY_NAME, JSON_STRING, nullptr),
        &Rpc::Manifest);
    this->bindAndAddMethod(
        Procedure("drain", PARAMS_BY_NAME, JSON_STRING, nullptr), &Rpc::Drain);
  }

  void Status(const Json::Value& /*request*/, Json::Value& response) {
    const auto status = this->ReadStatus();
    response["manifest_revision"] = Json::UInt64{status.manifest_revision};
    response["cells"] = Json::Value(Json::arrayValue);
    for (const auto& cell : status.cells)
      response["cells"].append(ToJson(cell));
    response["peers"] = Json::Value(Json::arrayValue);
    for (const auto& peer : status.peers) {
      Json::Value entry(Json::objectValue);
      entry["name"] = peer.id.name;
      entry["failure_domain"] = peer.failure_domain;
      entry["operator_address"] = peer.operator_address.ToString();
      entry["manifest_revision"] = Json::UInt64{peer.manifest_revision};
      entry["leaving"] = peer.leaving;
      const auto silent = kernel::Now() - peer.last_contact;
      const bool heard = peer.last_contact != kernel::kNever;
      entry["silent_ms"] = Json::Int64{heard ? kernel::ToMs(silent) : -1};
      response["peers"].append(entry);
    }
  }

  void Explain(const Json::Value& request, Json::Value& response) {
    const auto active = this->ReadActive();
    const std::string spelling = request["service"].asString();
    const std::string_view name = active->names.Find(spelling);
    if (name.empty()) {
      response["outcome"] = "unknown-service";
      for (const auto& near : active->names.Suggest(spelling, 3)) {
        response["suggestions"].append(near);
      }
      return;
    }
    const config::Service& service = *active->manifest.Find(name);
    const std::uint64_t hash = ownership::HashKey(request["key"].asString());
    const std::string cell_name = routing::CellNameForKey(hash, service);
    response["service"] = service.name;
    response["named_by"] = spelling == service.name ? "name" : "alias";
    response["key_hash"] = Json::UInt64{hash};
    response["shard"] = routing::ShardForKey(hash, service);
    response["cell"] = cell_name;
    for (const auto& cell : this->ReadStatus().cells) {
      if (cell.cell == cell_name) this->ExplainOwner(cell, hash, response);
    }
  }

  void Names(const Json::Value& /*request*/, Json::Value& response) {
    const auto active = this->ReadActive();
    const auto ranked =
        AskTask<std::vector<config::SpellingCount>>([this](auto done) {
          this->router.RequestUnknownSpellings(std::move(done));
        });
    response = Json::Value(Json::arrayValue);
    for (const auto& entry : ranked) {
      // Corrected since it was counted.
      if (!active->names.Find(entry.spelling).empty()) continue;
      Json::Value value(Json::objectValue);
      value["spelling"] = entry.spelling;
      value["count"] = Json::UInt64{entry.count};
      value["error"] = Json::UInt64{entry.error};
      const auto near = active->names.Suggest(entry.spelling, kSuggestions);
      value["suggestion"] = near.empty() ? "" : near.front();
      response.append(value);
    }
  }

  void Manifest(const Json::Value& /*request*/, Json::Value& response) {
    response = this->ReadManifest();
  }

  void Drain(const Json::Value& /*request*/, Json::Value& response) {
    this->drain();
    response = "draining";
  }

 private:
  control::ControlStatus ReadStatus() {
    return AskTask<control::ControlStatus>(
        [this](auto done) { this->control.RequestStatus(std::move(done)); });
  }

  std::string ReadManifest() {
    return AskTask<std::string>(
        [this](auto done) { this->control.RequestManifest(std::move(done)); });
  }

  std::shared_ptr<const config::ActiveManifest> ReadActive() {
    config::ManifestKeeper keeper;
    if (keeper.Offer(this->ReadManifest()) != config::OfferResult::kAdopted) {
      throw jsonrpc::JsonRpcException(-32001, "no manifest is in force yet");
    }
    return keeper.Current();
  }

  void ExplainOwner(const control::CellStatus& cell, std::uint64_t hash,
                    Json::Value& response) {
    const ownership::Placement placement(cell.row);
    response["owner"] = std::string(placement.OwnerOf(hash));
    response["rule"] =
        placement.IsOverridden(hash) ? "pinned key" : "weighted rendezvous";
    response["epoch"] = std::to_string(cell.row.version.term) + "." +
                        std::to_string(cell.row.version.sequence);
    response["primary"] = cell.row.primary.name;
    response["standby"] = cell.row.standby.name;
    response["moving"] = cell.moving;
    response["role_here"] = cell.role;
  }

  control::ControlTask& control;
  routing::RouterTask& router;
  std::function<void()> drain;
};

OperatorFront::OperatorFront(const kernel::Registry& registry,
                             const net::Address& address,
                             std::function<void()> drain)
    : registry(registry),
      connector(std::make_unique<Connector>()),
      rpc(std::make_unique<Rpc>(*this->connector, registry, std::move(drain))),
      server({.address = address}, [this](const net::HttpRequest& request,
                                          const net::Responder& respond) {
        this->OnRequest(request, respond);
      }) {}

OperatorFront::~OperatorFront() = default;

kernel::Result<void> OperatorFront::Start() { return this->server.Start(); }

void OperatorFront::Stop() { this->server.Stop(); }

void OperatorFront::OnRequest(const net::HttpRequest& request,
                              const net::Responder& respond) {
  const std::string& url = request.url;
  if (url == "/metrics") {
    const std::string text =
        this->registry.Find<observe::Metrics>("metrics").Print();
    respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, text});
    return;
  }
  if (url == "/health") {
    respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    return;
  }
  if (url == "/rpc" && request.method == "POST") {
    const std::string response = this->connector->Handle(request.body);
    respond({200, {{"Content-Type", "application/json"}}, response});
    return;
  }
  respond({404,
           {{"Content-Type", "text/plain"}},
           "known paths: /metrics, /health, /rpc\n"});
}

}  // namespace chervilmux::operators
