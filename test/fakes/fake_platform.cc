// fake-platform: a stand-in for the platform's table service, object store and
// instance list, in memory. POST /_fault?mode=up|down|slow|lost switches
// faults: `down` refuses, `slow` delays, `lost` carries writes out without an
// answer. PUT /instances/NAME and /servers/NAME play the platform's own
// scheduler.

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "fake_settings.h"
#include "kernel/json.h"
#include "net/http_server.h"

namespace chervilmux::fakes {
namespace {

constexpr std::chrono::milliseconds kSlowDelay(500);

struct Row {
  std::uint64_t revision = 0;
  std::string value;
};

class FakePlatform {
 public:
  net::HttpAnswer Handle(const net::HttpRequest& request) {
    const std::string path = request.url.substr(0, request.url.find('?'));
    const std::string query = request.url.find('?') == std::string::npos
                                  ? ""
                                  : request.url.substr(path.size() + 1);
    const std::lock_guard lock(this->mutex);
    if (path == "/_fault") return this->SetFault(query);
    if (path == "/_stats") return this->Stats();
    if (this->mode == "down") return {503, {}, ""};
    if (path.starts_with("/table/")) {
      return this->Table(request, path.substr(7), query);
    }
    if (path.starts_with("/objects/")) return this->Object(request, path);
    if (path == "/instances" && request.method == "GET") return this->List();
    if (path.starts_with("/instances/")) {
      return this->Enlist(this->instances, path.substr(11), request);
    }
    if (path.starts_with("/servers/")) {
      return this->Enlist(this->servers, path.substr(9), request);
    }
    return {404, {}, ""};
  }

  bool Slow() {
    const std::lock_guard lock(this->mutex);
    return this->mode == "slow";
  }

 private:
  net::HttpAnswer SetFault(const std::string& query) {
    this->mode = query.substr(query.find('=') + 1);
    return {200, {}, ""};
  }

  net::HttpAnswer Stats() {
    Json::Value body(Json::objectValue);
    body["reads"] = Json::UInt64{this->reads};
    body["writes"] = Json::UInt64{this->writes};
    return {200, {}, kernel::PrintJson(body)};
  }

  net::HttpAnswer Table(const net::HttpRequest& request, const std::string& key,
                        const std::string& query) {
    const auto found = this->rows.find(key);
    if (request.method == "GET") {
      this->reads += 1;
      if (found == this->rows.end()) return {404, {}, ""};
      return {200, {}, Print(found->second, true)};
    }
    this->writes += 1;
    const std::uint64_t expected =
        std::stoull(query.substr(query.find('=') + 1));
    const std::uint64_t revision =
        found == this->rows.end() ? 0 : found->second.revision;
    if (revision != expected) {
      const Row current = found == this->rows.end() ? Row() : found->second;
      return {409, {}, Print(current, true)};
    }
    Row& row = this->rows[key];
    row = {revision + 1, request.body};
    if (this->mode == "lost") return {503, {}, ""};
    return {200, {}, Print(row, false)};
  }

  static std::string Print(const Row& row, bool with_value) {
    Json::Value body(Json::objectValue);
    body["revision"] = Json::UInt64{row.revision};
    if (with_value) body["value"] = row.value;
    return kernel::PrintJson(body);
  }

  net::HttpAnswer Object(const net::HttpRequest& request,
                         const std::string& name) {
    if (request.method == "PUT") {
      this->writes += 1;
      this->objects[name] = request.body;
      return {200, {}, ""};
    }
    this->reads += 1;
    const auto found = this->objects.find(name);
    if (found == this->objects.end()) return {404, {}, ""};
    return {200, {}, found->second};
  }

  net::HttpAnswer Enlist(std::map<std::string, Json::Value>& list,
                         const std::string& name,
                         const net::HttpRequest& request) {
    if (request.method == "DELETE") {
      list.erase(name);
      return {200, {}, ""};
    }
    auto body = kernel::ParseJson(request.body);
    if (!body) return {400, {}, ""};
    list[name] = body.value();
    list[name]["name"] = name;
    return {200, {}, ""};
  }

  net::HttpAnswer List() {
    this->reads += 1;
    Json::Value body(Json::objectValue);
    body["instances"] = Json::Value(Json::arrayValue);
    body["servers"] = Json::Value(Json::arrayValue);
    for (const auto& [name, entry] : this->instances) {
      body["instances"].append(entry);
    }
    for (const auto& [name, entry] : this->servers) {
      body["servers"].append(entry);
    }
    return {200, {}, kernel::PrintJson(body)};
  }

  std::mutex mutex;
  std::string mode = "up";
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, Json::Value> instances;
  std::map<std::string, Json::Value> servers;
};

}  // namespace
}  // namespace chervilmux::fakes

int main(int argc, char** argv) {
  namespace fakes = chervilmux::fakes;
  namespace net = chervilmux::net;
  const fakes::Flags flags(argc, argv);
  const sigset_t stop_signals = fakes::BlockStopSignals();
  fakes::FakePlatform platform;
  net::HttpServerOptions options;
  options.address = flags.Listen();
  options.max_body_bytes = 64U << 20U;
  options.threads = 4;
  net::HttpServer server(options, [&](const net::HttpRequest& request,
                                      const net::Responder& respond) {
    if (platform.Slow()) std::this_thread::sleep_for(fakes::kSlowDelay);
    respond(platform.Handle(request));
  });
  if (!server.Start()) {
    std::fprintf(stderr, "fake-platform: cannot listen\n");
    return 1;
  }
  int signal = 0;
  sigwait(&stop_signals, &signal);
  server.Stop();
  return 0;
}
