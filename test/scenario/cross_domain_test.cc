// What callers of a service without keys get, and how many requests leave their
// failure domain: instances that choose servers by their own estimates, against
// servers with slots and queues, in virtual time.

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
constexpr double kWorkS = 0.09;
constexpr double kWorkSpread = 0.5;  ///< Of the logarithm of the work time.
constexpr double kObjectiveS = 0.3;
constexpr double kPlayS = 60;
constexpr int kInstancesPerDomain = 3;
const std::vector<std::string> kDomains = {"a", "b", "c"};
/// Servers of each domain: the third has less than its share of the callers.
const std::vector<int> kServersPerDomain = {5, 5, 3};
constexpr double kAllSlots = 13 * kSlots;

struct Outcome {
  double asked = 0;
  double in_time = 0;
  double crossed = 0;

  double InTime() const { return this->in_time / this->asked; }
  double Crossed() const { return this->crossed / this->asked; }
};

/// A server that works on its requests in order of arrival.
struct Server {
  std::string domain;
  unsigned running = 0;
  std::queue<std::function<void()>> waiting;
};

class Site {
 public:
  explicit Site(const policy::ServerLoadsTuning& tuning) {
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

  /// Plays callers that use `share` of all slots, evenly from all domains.
  Outcome Play(double share) {
    std::exponential_distribution<double> gap(share * kAllSlots / kWorkS);
    std::uniform_int_distribution<std::size_t> domain(0, kDomains.size() - 1);
    std::uniform_int_distribution<int> instance(0, kInstancesPerDomain - 1);
    double at = 1;
    while (at < kPlayS) {
      this->At(at, [this, domain = kDomains[domain(this->random)],
                    number = instance(this->random)] {
        this->Ask(domain, this->instances.at(domain)[number]);
      });
      at += gap(this->random);
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
  void At(double at, std::function<void()> action) {
    this->events.emplace(at, std::move(action));
  }

  Instant Now() const { return Instant(FromSeconds(this->now)); }

  void Ask(const std::string& domain, policy::ServerLoads& loads) {
    this->outcome.asked += 1;
    const auto chosen = loads.Choose({}, this->Now(), [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    });
    if (!chosen) return;  // Refused: its caller was not served in time.
    if (this->servers.at(*chosen).domain != domain) this->outcome.crossed += 1;
    loads.OnSent(*chosen);
    Server& server = this->servers.at(*chosen);
    server.waiting.push(
        [this, &server, &loads, id = *chosen, asked = this->now] {
          const double work = this->WorkTime();
          this->At(this->now + work, [this, &server, &loads, id, asked] {
            server.running -= 1;
            this->Answer(server, loads, id, asked);
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

  void Answer(const Server& server, policy::ServerLoads& loads,
              const std::string& id, double asked) {
    const double took = this->now - asked;
    if (took <= kObjectiveS) this->outcome.in_time += 1;
    const policy::ToldLoad told{
        server.running, static_cast<unsigned>(server.waiting.size()), kSlots};
    loads.OnEnd(id, policy::AttemptEnd::kServed, FromSeconds(took), told,
                this->Now());
  }

  double WorkTime() {
    const double median = kWorkS * std::exp(-kWorkSpread * kWorkSpread / 2);
    return std::lognormal_distribution<double>(std::log(median),
                                               kWorkSpread)(this->random);
  }

  double now = 1;
  std::multimap<double, std::function<void()>> events;
  std::map<std::string, Server> servers;
  std::map<std::string, std::vector<policy::ServerLoads>> instances;
  std::mt19937_64 random{20261204};
  Outcome outcome;
};

}  // namespace

TEST_CASE("callers of three failure domains, one of them with few servers") {
  policy::ServerLoadsTuning eager;
  eager.crossing_penalty = 0.6;  // What it was before objectives counted.
  double share = 0;
  SUBCASE("on a calm day") { share = 0.45; }
  SUBCASE("at the usual load") { share = 0.6; }
  SUBCASE("when the small domain's servers are full") { share = 0.75; }
  const Outcome before = Site(eager).Play(share);
  const Outcome after = Site({}).Play(share);
  CAPTURE(before.InTime());
  CAPTURE(before.Crossed());
  // Fewer requests leave their domain, and callers are served as before.
  CHECK(after.Crossed() < 0.7 * before.Crossed());
  CHECK(after.InTime() > before.InTime() - 0.01);
}

}  // namespace chervilmux::scenario
