// Guards against the failure that requests of a keyed service are refused while
// the owner of their key has a free slot, because the instance judges it by an
// old report, by the load of other servers, or by connections that a full
// server reset. Plays, in virtual time, instances that estimate the owners'
// load and servers with slots, a bounded queue and random service times.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "policy/server_loads.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;

constexpr unsigned kSlots = 3;
constexpr std::size_t kMaxQueued = 12;
constexpr double kMeanServiceTimeS = 0.16;
/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSigma = 0.8;
constexpr double kMaxWaitS = 0.2;
constexpr double kRecheckPeriodS = 0.01;
constexpr double kNetworkDelayS = 0.0015;
constexpr double kRunS = 20;
/// Largest share of the requests that may be refused while their owner has a
/// free slot.
constexpr double kMaxWronglyRefused = 0.01;

struct Size {
  unsigned servers;
  unsigned instances;
};
const std::vector<Size> kSizes = {{30, 8}, {100, 80}, {300, 300}};

struct Load {
  /// Share of all slots in use if nothing is refused.
  double utilization = 0.6;
  /// This share of the requests is for keys of `hot_servers` of the servers.
  double hot_share = 0;
  double hot_servers = 0.03;
};

struct Counts {
  double asked = 0;
  double served = 0;
  double refused = 0;
  double wrongly_refused = 0;  ///< While the owner had a free slot.
  double reset = 0;

  double WronglyRefusedShare() const {
    return this->wrongly_refused / this->asked;
  }
};

struct Server {
  unsigned running = 0;
  std::deque<std::function<void()>> queued;
};

class Simulation {
 public:
  Simulation(const Size& size, const Load& load)
      : size(size), load(load), servers(size.servers) {
    std::vector<model::BackendServer> listed;
    for (unsigned i = 0; i < size.servers; ++i) {
      model::BackendServer server;
      server.id = std::to_string(i);
      this->ids.push_back(server.id);
      server.failure_domain = "domain";
      server.slots = kSlots;
      listed.push_back(server);
    }
    for (unsigned i = 0; i < size.instances; ++i) {
      this->instances.emplace_back(std::string("domain"))
          .Update(listed, kernel::kNever, this->Now());
    }
  }

  Counts Run() {
    const double per_second = this->load.utilization * kSlots *
                              this->size.servers / kMeanServiceTimeS;
    std::exponential_distribution<double> gap(per_second);
    double at = this->now;
    while (at < kRunS) {
      this->Schedule(at, [this] { this->Ask(); });
      at += gap(this->random);
    }
    while (!this->events.empty()) {
      const auto event = this->events.begin();
      const auto action = std::move(event->second);
      this->now = event->first;
      this->events.erase(event);
      action();
    }
    return this->counts;
  }

 private:
  void Schedule(double at, std::function<void()> action) {
    this->events.emplace(at, std::move(action));
  }
  Instant Now() const { return Instant(FromSeconds(this->now)); }

  unsigned RandomOwner() {
    std::uniform_real_distribution<double> chance(0, 1);
    const bool is_hot = chance(this->random) < this->load.hot_share;
    const auto hot_count = std::max(
        1U, static_cast<unsigned>(this->load.hot_servers * this->size.servers));
    std::uniform_int_distribution<unsigned> any(
        0, (is_hot ? hot_count : this->size.servers) - 1);
    return any(this->random);
  }

  void Ask() {
    this->counts.asked += 1;
    std::uniform_int_distribution<std::size_t> any(0,
                                                   this->instances.size() - 1);
    this->Dispatch(this->instances[any(this->random)], this->RandomOwner(),
                   this->now + kMaxWaitS);
  }

  void Dispatch(policy::ServerLoads& loads, unsigned owner, double wait_until) {
    const std::string& id = this->ids[owner];
    const bool ejected = loads.IsEjected(id, this->Now());
    if (!ejected && loads.HasCapacity(id, this->Now())) {
      this->Send(loads, owner);
    } else if (ejected || this->now >= wait_until) {
      this->Refuse(owner);
    } else {
      this->Schedule(this->now + kRecheckPeriodS,
                     [this, &loads, owner, wait_until] {
                       this->Dispatch(loads, owner, wait_until);
                     });
    }
  }

  void Refuse(unsigned owner) {
    this->counts.refused += 1;
    if (this->servers[owner].running < kSlots)
      this->counts.wrongly_refused += 1;
  }

  void Send(policy::ServerLoads& loads, unsigned owner) {
    loads.OnSent(this->ids[owner]);
    this->Schedule(this->now + kNetworkDelayS,
                   [this, &loads, owner, sent_at = this->now] {
                     this->Arrive(loads, owner, sent_at);
                   });
  }

  void Arrive(policy::ServerLoads& loads, unsigned owner, double sent_at) {
    Server& server = this->servers[owner];
    if (server.running >= kSlots && server.queued.size() >= kMaxQueued) {
      this->counts.reset += 1;
      this->Complete(loads, owner, sent_at, policy::AttemptOutcome::kReset);
      return;
    }
    server.queued.push_back([this, &loads, owner, sent_at] {
      this->Schedule(this->now + this->RandomServiceTime(), [this, &loads,
                                                             owner, sent_at] {
        this->servers[owner].running -= 1;
        this->counts.served += 1;
        this->Complete(loads, owner, sent_at, policy::AttemptOutcome::kServed);
        this->RunNext(owner);
      });
    });
    this->RunNext(owner);
  }

  void RunNext(unsigned owner) {
    Server& server = this->servers[owner];
    if (server.running >= kSlots || server.queued.empty()) return;
    server.running += 1;
    const auto run = std::move(server.queued.front());
    server.queued.pop_front();
    run();
  }

  void Complete(policy::ServerLoads& loads, unsigned owner, double sent_at,
                policy::AttemptOutcome outcome) {
    const Server& server = this->servers[owner];
    std::optional<policy::ReportedLoad> reported;
    if (outcome == policy::AttemptOutcome::kServed) {
      reported = {server.running, static_cast<unsigned>(server.queued.size()),
                  kSlots};
    }
    this->Schedule(this->now + kNetworkDelayS,
                   [this, &loads, owner, sent_at, outcome, reported] {
                     loads.OnCompletion(this->ids[owner], outcome,
                                        FromSeconds(this->now - sent_at),
                                        reported, this->Now());
                   });
  }

  double RandomServiceTime() {
    const double median = kMeanServiceTimeS *
                          std::exp(-kServiceTimeSigma * kServiceTimeSigma / 2);
    return std::lognormal_distribution<double>(std::log(median),
                                               kServiceTimeSigma)(this->random);
  }

  Size size;
  Load load;
  double now = 1;
  std::multimap<double, std::function<void()>> events;
  std::vector<std::string> ids;  ///< Of the servers.
  std::vector<Server> servers;
  std::deque<policy::ServerLoads> instances;
  std::mt19937_64 random{20261204};
  Counts counts;
};

}  // namespace

TEST_CASE("no request is refused while the owner of its key has a free slot") {
  Load load;
  SUBCASE("at even load") {}
  SUBCASE("while a few servers own hot keys") { load.hot_share = 0.3; }
  SUBCASE("while a third of the servers own nearly all busy keys") {
    load.utilization = 0.5;
    load.hot_share = 0.9;
    load.hot_servers = 0.33;
  }
  for (const auto& size : kSizes) {
    CAPTURE(size.servers);
    const Counts counts = Simulation(size, load).Run();
    MESSAGE(size.servers, " servers, ", size.instances, " instances: refused ",
            counts.refused / counts.asked, ", wrongly ",
            counts.WronglyRefusedShare(), ", reset ",
            counts.reset / counts.asked, ", served ",
            counts.served / counts.asked);
    CHECK(counts.WronglyRefusedShare() < kMaxWronglyRefused);
  }
}

}  // namespace chervilmux::scenario
