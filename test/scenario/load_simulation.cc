#include "load_simulation.h"

#include <cmath>
#include <utility>

namespace chervilmux::scenario {
namespace {

using kernel::FromSeconds;
using kernel::Instant;

/// A request that may not be repeated takes only such a fresh connection.
constexpr double kFreshS = 2;

}  // namespace

LoadSimulation::LoadSimulation(LoadWorld simulated)
    : world(std::move(simulated)), random(this->world.seed) {
  std::vector<model::BackendServer> listed;
  std::string domain = "a";
  for (const int count : this->world.servers) {
    for (int i = 0; i < count; ++i) {
      model::BackendServer& server = listed.emplace_back();
      server.id = domain + std::to_string(i);
      server.failure_domain = domain;
      server.slots = this->world.slots;
      this->servers[server.id].domain = domain;
      this->all_slots += this->world.slots;
    }
    const auto instances =
        static_cast<std::size_t>(this->world.instances_per_domain);
    for (std::size_t i = 0; i < instances; ++i) {
      Instance& instance = this->instances.emplace_back();
      instance.domain = domain;
      instance.loads =
          std::make_unique<policy::ServerLoads>(domain, this->world.tuning);
      if (this->world.uses_subsets)
        instance.loads->SetSubsetPosition({i, instances});
    }
    domain[0] = static_cast<char>(domain[0] + 1);
  }
  for (Instance& instance : this->instances)
    instance.loads->Update(listed, kernel::kNever, this->Now());
}

LoadCounts LoadSimulation::Run() {
  std::exponential_distribution<double> gap(this->world.share_of_slots *
                                            this->all_slots /
                                            this->world.mean_service_time_s);
  std::vector<double> weights(this->instances.size(), 1);
  if (this->world.uneven_instances) {
    for (double& weight : weights)
      weight = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  double sent_at = 0;
  while (sent_at < this->world.run_s) {
    this->Schedule(sent_at, [this, number = pick(this->random)] {
      this->SendRequest(this->instances[number]);
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
  return this->counts;
}

void LoadSimulation::Schedule(double at, std::function<void()> action) {
  this->events.emplace(at, std::move(action));
}

Instant LoadSimulation::Now() const {
  return Instant(FromSeconds(1 + this->now));
}

void LoadSimulation::CountSent(const Instance& instance,
                               const std::string& id) {
  if (this->servers.at(id).domain != instance.domain)
    this->counts.cross_domain += 1;
  const auto met = instance.last_answer_s.find(id);
  const bool is_fresh =
      met != instance.last_answer_s.end() && this->now - met->second < kFreshS;
  if (!is_fresh) this->counts.connections += 1;
  const auto known = instance.loads->EstimateLoad(id, this->Now());
  const bool has_news = known && known->report_age &&
                        *known->report_age < kernel::milliseconds(500);
  if (!has_news) this->counts.without_news += 1;
}

void LoadSimulation::SendRequest(Instance& instance) {
  const bool counts = this->now >= this->world.counted_from_s;
  if (counts) this->counts.sent += 1;
  const auto chosen = instance.loads->ChooseServer({}, this->Now(), [this] {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  });
  if (!chosen) {
    if (counts) this->counts.refused += 1;
    return;
  }
  if (counts) this->CountSent(instance, *chosen);
  instance.loads->OnSent(*chosen);
  Server& server = this->servers.at(*chosen);
  server.waiting.push(
      [this, &server, &instance, id = *chosen, sent_at = this->now] {
        this->Schedule(this->now + this->RandomServiceTime(),
                       [this, &server, &instance, id, sent_at] {
                         server.running -= 1;
                         this->CompleteRequest(server, instance, id, sent_at);
                         this->RunNext(server);
                       });
      });
  this->RunNext(server);
}

void LoadSimulation::RunNext(Server& server) {
  if (server.running >= this->world.slots || server.waiting.empty()) return;
  server.running += 1;
  const auto run = std::move(server.waiting.front());
  server.waiting.pop();
  run();
}

void LoadSimulation::CompleteRequest(const Server& server, Instance& instance,
                                     const std::string& id, double sent_at) {
  const double latency = this->now - sent_at;
  const bool counts = sent_at >= this->world.counted_from_s;
  if (counts && latency <= this->world.latency_objective_s)
    this->counts.in_time += 1;
  const policy::ReportedLoad reported{
      server.running, static_cast<unsigned>(server.waiting.size()),
      this->world.slots};
  instance.loads->OnCompletion(id, policy::AttemptOutcome::kServed,
                               FromSeconds(latency), reported, this->Now());
  instance.last_answer_s[id] = this->now;
}

double LoadSimulation::RandomServiceTime() {
  const double sigma = this->world.service_time_sigma;
  const double median =
      this->world.mean_service_time_s * std::exp(-sigma * sigma / 2);
  return std::lognormal_distribution<double>(std::log(median),
                                             sigma)(this->random);
}

}  // namespace chervilmux::scenario
