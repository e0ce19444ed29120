/// \file
/// Defines a simulation, in virtual time, of instances that choose servers by
/// their own load estimates, and of servers with slots and queues.

#ifndef CHERVILMUX_TEST_SCENARIO_LOAD_SIMULATION_H_
#define CHERVILMUX_TEST_SCENARIO_LOAD_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/server_loads.h"

namespace chervilmux::scenario {

struct LoadWorld {
  /// Servers of each failure domain: "a", "b" and so on.
  std::vector<int> servers;
  int instances_per_domain = 1;
  unsigned slots = 6;
  double share_of_slots = 0.6;  ///< In use on average.
  double mean_service_time_s = 0.09;
  /// Standard deviation of the logarithm of the service time.
  double service_time_sigma = 0.5;
  double latency_objective_s = 0.3;
  double run_s = 60;
  double counted_from_s = 0;
  /// Each instance gets between half and one and a half of the mean.
  bool uneven_instances = false;
  bool uses_subsets = false;
  policy::ServerLoadsTuning tuning;
  std::uint64_t seed = 20261204;
};

/// What callers got, of requests that were sent after `counted_from_s`.
struct LoadCounts {
  double sent = 0;
  double in_time = 0;
  double cross_domain = 0;
  double refused = 0;       ///< No server was usable.
  double connections = 0;   ///< The pair had not met in the last 2 s.
  double without_news = 0;  ///< No report of the server under 0.5 s old.

  double Share(double LoadCounts::*count) const {
    return this->*count / this->sent;
  }
};

class LoadSimulation {
 public:
  explicit LoadSimulation(LoadWorld simulated);

  /// Sends requests, evenly from all failure domains, and waits for all
  /// answers.
  LoadCounts Run();

 private:
  struct Instance {
    std::string domain;
    std::unique_ptr<policy::ServerLoads> loads;
    std::map<std::string, double> last_answer_s;  ///< By server.
  };
  struct Server {
    std::string domain;
    unsigned running = 0;
    std::queue<std::function<void()>> waiting;
  };

  void Schedule(double at, std::function<void()> action);
  kernel::Instant Now() const;
  void CountSent(const Instance& instance, const std::string& id);
  void SendRequest(Instance& instance);
  void RunNext(Server& server);
  void CompleteRequest(const Server& server, Instance& instance,
                       const std::string& id, double sent_at);
  double RandomServiceTime();

  LoadWorld world;
  double now = 0;
  double all_slots = 0;
  std::mt19937_64 random;
  std::multimap<double, std::function<void()>> events;
  std::map<std::string, Server> servers;
  std::vector<Instance> instances;
  LoadCounts counts;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_LOAD_SIMULATION_H_
