// Guards the choice of servers against two failures: callers are served too
// late, or more requests than necessary are sent to another failure domain.
// Simulates, in virtual time, instances that choose servers by their own load
// estimates, and servers with slots and queues.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/server_loads.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;

constexpr unsigned kSlots = 6;
constexpr double kMeanServiceTimeS = 0.09;
/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSigma = 0.5;
constexpr double kLatencyObjectiveS = 0.3;
constexpr double kRunS = 60;
constexpr int kInstancesPerDomain = 3;
const std::vector<std::string> kDomains = {"a", "b", "c"};
/// Servers of each failure domain. Each domain has a third of the callers, but
/// the third one has less than a third of the servers.
const std::vector<int> kServersPerDomain = {5, 5, 3};
constexpr double kAllSlots = 13 * kSlots;

struct RequestCounts {
  double sent = 0;
  double in_time = 0;
  double cross_domain = 0;

  double InTimeShare() const { return this->in_time / this->sent; }
  double CrossDomainShare() const { return this->cross_domain / this->sent; }
};

/// A server that runs requests in order of arrival, one per slot.
struct Server {
  std::string domain;
  unsigned running = 0;
  std::queue<std::function<void()>> waiting;
};

class Simulation {
 public:
  explicit Simulation(const policy::ServerLoadsTuning& tuning) {
    std::vector<model::BackendServer> listed;
    for (std::size_t d = 0; d < kDomains.size(); ++d) {
      for (int i = 0; i < kServersPerDomain[d]; ++i) {
        model::BackendServer server;
        server.id = kDomains[d] + std::to_string(i);
        server.failure_domain = kDomains[d];
        server.slots = kSlots;
        listed.push_back(server);
        this->servers[server.id].domain = kDomains[d];
      }
    }
    for (const auto& domain : kDomains) {
      for (int i = 0; i < kInstancesPerDomain; ++i) {
        auto& loads = this->instances[domain].emplace_back(domain, tuning);
        loads.Update(listed, kernel::kNever, Instant(kernel::seconds(1)));
      }
    }
  }

  /// Sends requests that use `share` of all slots on average, evenly from all
  /// failure domains, until kRunS, and waits for all answers.
  RequestCounts Run(double share) {
    std::exponential_distribution<double> gap(share * kAllSlots /
                                              kMeanServiceTimeS);
    std::uniform_int_distribution<std::size_t> domain(0, kDomains.size() - 1);
    std::uniform_int_distribution<int> instance(0, kInstancesPerDomain - 1);
    double sent_at = 1;
    while (sent_at < kRunS) {
      this->Schedule(sent_at, [this, domain = kDomains[domain(this->random)],
                               number = instance(this->random)] {
        this->SendRequest(domain, this->instances.at(domain)[number]);
      });
      sent_at += gap(this->random);
    }
    while (!this->events.empty()) {
      const auto event = this->events.begin();
      const auto action = std::move(event->second);
      this->now = event->first;
      this->events.erase(event);
      action();
    }
    return this->outcome;
  }

 private:
  void Schedule(double at, std::function<void()> action) {
    this->events.emplace(at, std::move(action));
  }

  Instant Now() const { return Instant(FromSeconds(this->now)); }

  void SendRequest(const std::string& domain, policy::ServerLoads& loads) {
    this->outcome.sent += 1;
    const auto chosen = loads.ChooseServer({}, this->Now(), [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    });
    if (!chosen) return;  // Refused: counts as not served in time.
    if (this->servers.at(*chosen).domain != domain)
      this->outcome.cross_domain += 1;
    loads.OnSent(*chosen);
    Server& server = this->servers.at(*chosen);
    server.waiting.push(
        [this, &server, &loads, id = *chosen, sent_at = this->now] {
          const double service_time = this->RandomServiceTime();
          this->Schedule(this->now + service_time,
                         [this, &server, &loads, id, sent_at] {
                           server.running -= 1;
                           this->CompleteRequest(server, loads, id, sent_at);
                           this->RunNext(server);
                         });
        });
    this->RunNext(server);
  }

  void RunNext(Server& server) {
    if (server.running >= kSlots || server.waiting.empty()) return;
    server.running += 1;
    const auto run = std::move(server.waiting.front());
    server.waiting.pop();
    run();
  }

  void CompleteRequest(const Server& server, policy::ServerLoads& loads,
                       const std::string& id, double sent_at) {
    const double latency = this->now - sent_at;
    if (latency <= kLatencyObjectiveS) this->outcome.in_time += 1;
    const policy::ReportedLoad reported{
        server.running, static_cast<unsigned>(server.waiting.size()), kSlots};
    loads.OnCompletion(id, policy::AttemptOutcome::kServed,
                       FromSeconds(latency), reported, this->Now());
  }

  double RandomServiceTime() {
    const double median = kMeanServiceTimeS *
                          std::exp(-kServiceTimeSigma * kServiceTimeSigma / 2);
    return std::lognormal_distribution<double>(std::log(median),
                                               kServiceTimeSigma)(this->random);
  }

  double now = 1;
  std::multimap<double, std::function<void()>> events;
  std::map<std::string, Server> servers;
  std::map<std::string, std::vector<policy::ServerLoads>> instances;
  std::mt19937_64 random{20261204};
  RequestCounts outcome;
};

}  // namespace

// Failure: with a low cross-domain penalty, small differences in load send
// requests to another failure domain although the local servers would answer
// within the latency objective. One failure domain has few servers for its
// callers.
TEST_CASE("a request leaves its failure domain only when it would be late") {
  policy::ServerLoadsTuning low_penalty;
  // Earlier value, which did not take the latency objective into account.
  low_penalty.cross_domain_penalty = 0.6;
  double share = 0;
  SUBCASE("at low load") { share = 0.45; }
  SUBCASE("at normal load") { share = 0.6; }
  SUBCASE("when the servers of the smallest failure domain are full") {
    share = 0.75;
  }
  const RequestCounts before = Simulation(low_penalty).Run(share);
  const RequestCounts after = Simulation({}).Run(share);
  CAPTURE(before.InTimeShare());
  CAPTURE(before.CrossDomainShare());
  // Fewer requests leave their failure domain, and as many are served in time.
  CHECK(after.CrossDomainShare() < 0.7 * before.CrossDomainShare());
  CHECK(after.InTimeShare() > before.InTimeShare() - 0.01);
}

}  // namespace chervilmux::scenario
