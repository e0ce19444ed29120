// Guards services without keys against what many instances and many servers do
// to each other: every request opens a connection and no instance knows how
// full a server is. Simulates instances that choose servers with
// policy/server_loads, and servers with slots, in virtual time, and looks at
// what callers get.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/server_loads.h"

namespace chervilmux::scenario {
namespace {

using kernel::FromSeconds;
using kernel::Instant;

constexpr unsigned kSlots = 6;
constexpr double kMeanServiceTimeS = 0.8;
constexpr double kLatencyObjectiveS = 2.4;
constexpr double kServiceTimeSigma = 0.5;
/// A request that may not be repeated takes only such a fresh connection.
constexpr double kFreshS = 2;
constexpr double kWarmUpS = 5;
constexpr double kRunS = 30;
constexpr std::uint64_t kSeed = 20261205;

struct Counts {
  double sent = 0;
  double in_time = 0;
  double connections = 0;
  double without_news = 0;  ///< Sent where the last report was over 0.5 s old.
  double nowhere = 0;       ///< No usable server.
};

struct World {
  int instances;
  int servers;
  bool uses_subsets;
  double share;  ///< Of all slots, in use on average.
};

class Simulation {
 public:
  explicit Simulation(const World& world) : world(world), random(kSeed) {
    std::vector<model::BackendServer> listed(
        static_cast<std::size_t>(world.servers));
    for (std::size_t i = 0; i < listed.size(); ++i) {
      listed[i].id = "s" + std::to_string(i);
      listed[i].failure_domain = "a";
      listed[i].slots = kSlots;
    }
    for (int i = 0; i < world.instances; ++i) {
      Sender& sender = this->senders.emplace_back();
      sender.loads = std::make_unique<policy::ServerLoads>("a");
      if (world.uses_subsets) {
        sender.loads->SetSubsetPosition(
            {static_cast<std::size_t>(i),
             static_cast<std::size_t>(world.instances)});
      }
      sender.loads->Update(listed, kernel::kNever, this->At(0));
    }
  }

  Counts Run() {
    const double rate =
        this->world.share * this->world.servers * kSlots / kMeanServiceTimeS;
    std::exponential_distribution<double> gap(rate);
    // The platform divides callers unevenly.
    std::vector<double> weights(this->senders.size());
    for (double& weight : weights)
      weight = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    double at = 0;
    while (at < kRunS) {
      this->Schedule(at, [this, number = pick(this->random)] {
        this->Send(this->senders[number]);
      });
      at += gap(this->random);
    }
    while (!this->events.empty()) {
      const auto first = this->events.begin();
      const auto action = std::move(first->second);
      this->now = first->first;
      this->events.erase(first);
      action();
    }
    return this->counts;
  }

 private:
  struct Sender {
    std::unique_ptr<policy::ServerLoads> loads;
    std::map<std::string, double> last_used;
  };
  struct Server {
    unsigned running = 0;
    std::queue<std::function<void()>> waiting;
  };

  static Instant At(double seconds) {
    return Instant(kernel::seconds(100)) + FromSeconds(seconds);
  }
  void Schedule(double at, std::function<void()> action) {
    this->events.emplace(at, std::move(action));
  }

  void Send(Sender& sender) {
    const auto unit = [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    };
    const auto id = sender.loads->ChooseServer({}, this->At(this->now), unit);
    const bool counts = this->now > kWarmUpS;
    if (counts) this->counts.sent += 1;
    if (!id) {
      if (counts) this->counts.nowhere += 1;
      return;
    }
    const auto last = sender.last_used.find(*id);
    const bool is_warm =
        last != sender.last_used.end() && this->now - last->second < kFreshS;
    const auto known = sender.loads->EstimateLoad(*id, this->At(this->now));
    const bool has_news = known && known->report_age &&
                          *known->report_age < kernel::milliseconds(500);
    if (counts && !is_warm) this->counts.connections += 1;
    if (counts && !has_news) this->counts.without_news += 1;
    sender.loads->OnSent(*id);
    this->Arrive(sender, *id, this->now);
  }

  void Arrive(Sender& sender, const std::string& id, double sent_at) {
    Server& server = this->servers[id];
    if (server.running < kSlots) {
      this->Start(sender, id, sent_at);
    } else {
      server.waiting.push(
          [this, &sender, id, sent_at] { this->Start(sender, id, sent_at); });
    }
  }

  void Start(Sender& sender, const std::string& id, double sent_at) {
    this->servers[id].running += 1;
    std::lognormal_distribution<double> work(
        std::log(kMeanServiceTimeS) - kServiceTimeSigma * kServiceTimeSigma / 2,
        kServiceTimeSigma);
    this->Schedule(this->now + work(this->random), [this, &sender, id,
                                                    sent_at] {
      Server& server = this->servers[id];
      server.running -= 1;
      const policy::ReportedLoad load{
          server.running, static_cast<unsigned>(server.waiting.size()), kSlots};
      const double latency = this->now - sent_at;
      sender.loads->OnCompletion(id, policy::AttemptOutcome::kServed,
                                 FromSeconds(latency), load,
                                 this->At(this->now));
      sender.last_used[id] = this->now;
      if (sent_at > kWarmUpS && latency <= kLatencyObjectiveS)
        this->counts.in_time += 1;
      if (server.waiting.empty()) return;
      const auto next = std::move(server.waiting.front());
      server.waiting.pop();
      next();
    });
  }

  World world;
  std::mt19937_64 random;
  double now = 0;
  std::multimap<double, std::function<void()>> events;
  std::vector<Sender> senders;
  std::map<std::string, Server> servers;
  Counts counts;
};

}  // namespace

TEST_CASE("many instances send to many servers of a service without keys") {
  MESSAGE("seed " << kSeed);
  for (const auto& [instances, servers] :
       {std::pair{29, 62}, std::pair{59, 57}, std::pair{100, 100}}) {
    for (const double share : {0.65, 0.85}) {
      const Counts all = Simulation({instances, servers, false, share}).Run();
      const Counts subset = Simulation({instances, servers, true, share}).Run();
      MESSAGE(instances << " instances, " << servers << " servers, " << share
                        << " of the slots: connections a request "
                        << all.connections / all.sent << " -> "
                        << subset.connections / subset.sent << ", in time "
                        << all.in_time / all.sent << " -> "
                        << subset.in_time / subset.sent << ", no recent news "
                        << all.without_news / all.sent << " -> "
                        << subset.without_news / subset.sent);
      CHECK(subset.connections < all.connections / 2);
      CHECK(subset.without_news < all.without_news);
      CHECK(subset.nowhere == 0);
      // Callers are served as well or better.
      CHECK(subset.in_time / subset.sent > all.in_time / all.sent - 0.005);
    }
  }
}

}  // namespace chervilmux::scenario
