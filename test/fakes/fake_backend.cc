// fake-backend: a stand-in for a backend server that owns keys exclusively.
//
// Answers every request with who it is, what it got and how often it ran this
// request id. Faults by POST /_fault?mode=MODE: up, late, crossed, truncated,
// broken (closes after reading), frozen, shed, duplicate.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <thread>

#include "fake_settings.h"
#include "grant_keeper.h"
#include "kernel/json.h"
#include "kernel/time.h"
#include "net/http_server.h"

namespace chervilmux::fakes {
namespace {

using kernel::Instant;

std::int64_t ClockUs() { return kernel::ToWire(kernel::Now()); }

/// Gives answers back after a delay, from one thread.
class DelayedAnswers {
 public:
  DelayedAnswers() : thread([this] { this->Run(); }) {}

  ~DelayedAnswers() {
    {
      const std::lock_guard lock(this->mutex);
      this->ending = true;
    }
    this->changed.notify_one();
    this->thread.join();
  }

  void After(kernel::Duration delay, std::function<void()> action) {
    const std::lock_guard lock(this->mutex);
    this->waiting.emplace(kernel::Now() + delay, std::move(action));
    this->changed.notify_one();
  }

 private:
  void Run() {
    std::unique_lock lock(this->mutex);
    while (true) {
      if (this->waiting.empty()) {
        if (this->ending) return;
        this->changed.wait(lock);
        continue;
      }
      const auto first = this->waiting.begin();
      if (!this->ending && kernel::Now() < first->first) {
        const Instant due = first->first;
        this->changed.wait_until(lock, due);
        continue;
      }
      const auto action = std::move(first->second);
      this->waiting.erase(first);
      lock.unlock();
      action();
      lock.lock();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool ending = false;
  std::multimap<Instant, std::function<void()>> waiting;
  std::thread thread;
};

class FakeBackend {
 public:
  FakeBackend(std::string name, bool checks_tokens, long service_us, long slots)
      : name(std::move(name)),
        incarnation(static_cast<std::uint64_t>(ClockUs())),
        grants(this->incarnation, checks_tokens),
        service_time(service_us),
        slots(static_cast<std::size_t>(slots)) {}

  void Handle(const net::HttpRequest& request, net::Responder respond) {
    const std::string path = request.url.substr(0, request.url.find('?'));
    if (path == "/_grant") return this->Grant(request, respond);
    if (path == "/_cancel") return respond({200, {}, ""});
    if (path == "/_stats") return respond(this->Stats());
    if (path == "/_runs") return respond(this->Runs());
    if (path == "/_fault") {
      const std::lock_guard lock(this->mutex);
      this->mode = request.url.substr(request.url.find('=') + 1);
      return respond({200, {}, ""});
    }
    this->Run(request, std::move(respond));
  }

 private:
  void Grant(const net::HttpRequest& request, const net::Responder& respond) {
    auto parsed = kernel::ParseJson(request.body);
    if (!parsed) return respond({400, {}, ""});
    const Json::Value& body = parsed.value();
    ownership::GrantOrder order;
    order.token = {kernel::UintOr(body, "term"),
                   kernel::UintOr(body, "counter")};
    order.version = {body["version"][0].asUInt64(),
                     body["version"][1].asUInt64()};
    order.deadline_us = body["deadline_us"].asInt64();
    order.incarnation = kernel::UintOr(body, "incarnation");
    ownership::GrantReply reply;
    {
      const std::lock_guard lock(this->mutex);
      reply = this->grants.HandleOrder(kernel::StringOr(body, "cell"), order,
                                       ClockUs());
    }
    Json::Value answer(Json::objectValue);
    answer["accepted"] = reply.accepted;
    answer["highest_term"] = Json::UInt64{reply.highest_token.term};
    answer["highest_counter"] = Json::UInt64{reply.highest_token.counter};
    answer["clock_us"] = Json::Int64{reply.clock_us};
    answer["incarnation"] = Json::UInt64{reply.incarnation};
    answer["checks_tokens"] = reply.checks_tokens;
    respond({200, {}, kernel::PrintJson(answer)});
  }

  net::HttpAnswer Stats() {
    const std::lock_guard lock(this->mutex);
    Json::Value body(Json::objectValue);
    body["executions"] = Json::UInt64{this->executions};
    body["distinct"] = Json::UInt64{this->runs_of_request.size()};
    body["refused"] = Json::UInt64{this->refused};
    body["peak"] = Json::UInt64{this->peak};
    body["frozen"] = Json::UInt64{this->frozen.size()};
    return {200, {}, kernel::PrintJson(body)};
  }

  net::HttpAnswer Runs() {
    const std::lock_guard lock(this->mutex);
    Json::Value body(Json::objectValue);
    for (const auto& [id, runs] : this->runs_of_request) body[id] = runs;
    return {200, {}, kernel::PrintJson(body)};
  }

  void Run(const net::HttpRequest& request, net::Responder respond) {
    const std::string id(net::FindHeader(request.headers, "X-Request-Id"));
    const std::string cell(net::FindHeader(request.headers, "X-Grant-Cell"));
    const std::string token(net::FindHeader(request.headers, "X-Grant-Token"));
    const auto refuse = [&](const char* why) {
      this->refused += 1;
      respond({503, {{"X-Not-Run", why}, {"X-Request-Id", id}}, ""});
    };
    const std::lock_guard lock(this->mutex);
    const auto dot = token.find('.');
    const bool may_run =
        dot != std::string::npos &&
        this->grants.MayRun(cell,
                            {std::stoull(token.substr(0, dot)),
                             std::stoull(token.substr(dot + 1))},
                            ClockUs());
    if (!may_run) return refuse("fenced");
    if (this->mode == "shed" || this->running >= this->slots) {
      return refuse("shed");
    }
    if (this->mode == "frozen") return this->frozen.push_back(respond);
    this->executions += 1;
    const unsigned runs = ++this->runs_of_request[id];
    this->running += 1;
    this->peak = std::max(this->peak, this->running);
    const auto delay =
        this->mode == "late" ? this->service_time * 100 : this->service_time;
    net::HttpAnswer answer = this->Answer(request, id, runs);
    this->delayed.After(delay, [this, respond = std::move(respond),
                                answer = std::move(answer)]() mutable {
      {
        const std::lock_guard done(this->mutex);
        this->running -= 1;
      }
      respond(std::move(answer));
    });
  }

  net::HttpAnswer Answer(const net::HttpRequest& request, const std::string& id,
                         unsigned runs) {
    Json::Value body(Json::objectValue);
    body["server"] = this->name;
    body["method"] = request.method;
    body["url"] = request.url;
    body["body"] = request.body;
    body["runs"] = runs;
    for (const auto& header : request.headers) {
      body["headers"][header.name] = header.value;
    }
    const std::string answered =
        this->mode == "crossed" ? "another-request" : id;
    return {200,
            {{"Content-Type", "application/json"}, {"X-Request-Id", answered}},
            kernel::PrintJson(body) + "\n"};
  }

  std::string name;
  std::uint64_t incarnation;
  std::mutex mutex;
  ServerGrants grants;
  kernel::Duration service_time;
  std::size_t slots;
  std::string mode = "up";
  std::uint64_t executions = 0;
  std::uint64_t refused = 0;
  std::size_t running = 0;
  std::size_t peak = 0;
  std::map<std::string, unsigned> runs_of_request;
  std::vector<net::Responder> frozen;
  DelayedAnswers delayed;
};

}  // namespace
}  // namespace chervilmux::fakes

int main(int argc, char** argv) {
  namespace fakes = chervilmux::fakes;
  namespace net = chervilmux::net;
  const fakes::Flags flags(argc, argv);
  const sigset_t stop_signals = fakes::BlockStopSignals();
  fakes::FakeBackend backend(flags.Text("name", "backend"),
                             flags.Text("checks-tokens", "yes") == "yes",
                             flags.Number("service-us", 1000),
                             flags.Number("slots", 6));
  net::HttpServerOptions options;
  options.address = flags.Listen();
  net::HttpServer server(
      options, [&](const net::HttpRequest& request, net::Responder respond) {
        backend.Handle(request, std::move(respond));
      });
  if (!server.Start()) {
    std::fprintf(stderr, "fake-backend: cannot listen\n");
    return 1;
  }
  int signal = 0;
  sigwait(&stop_signals, &signal);
  server.Stop();
  return 0;
}
