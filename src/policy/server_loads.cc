#include "policy/server_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::ToSeconds;

/// Used until the first answer of a service has arrived.
constexpr double kUnknownWorkS = 0.1;
/// A latency that was not confirmed for this long counts half as much against
/// the mean, and a failure half as much, so that a server that has recovered is
/// tried again.
constexpr double kWorkHalfLifeS = 2.0;
/// Weight of the newest told load in the mean over all servers.
constexpr double kOthersGain = 0.05;
/// A server without recent answers counts as somewhat quicker than the mean:
/// otherwise one that was slow once would never be tried again.
constexpr double kUntriedFactor = 0.8;
/// Weight of the newest attempt in the share of failed ones.
constexpr double kFailureGain = 0.15;
/// A larger share of failed attempts counts as this one.
constexpr double kLargestFailureShare = 0.8;
/// Set aside at once after so many failures without a success.
constexpr unsigned kFailuresInRow = 3;

/// A server's speed is believed as much as the mean after so many answers.
constexpr double kAnswersOfMean = 4;

void Blend(double& average, double sample, double gain) {
  average = average <= 0 ? sample : average + gain * (sample - average);
}

}  // namespace

ServerLoads::ServerLoads(std::string own_failure_domain,
                         const ServerLoadsTuning& tuning)
    : own_failure_domain(std::move(own_failure_domain)), tuning(tuning) {}

void ServerLoads::Update(std::span<const model::BackendServer> listed,
                         Instant unchanged_until, Instant now) {
  std::map<std::string, Server, std::less<>> next;
  for (const auto& entry : listed) {
    const auto known = this->servers.find(entry.id);
    const bool same_life = known != this->servers.end() &&
                           known->second.listed.life == entry.life &&
                           known->second.listed.address == entry.address;
    Server& server = next[entry.id];
    if (same_life) {
      server = std::move(known->second);
    } else {
      server.warm_at = now + entry.remaining_warm_up;
    }
    if (entry.draining && !server.listed.draining) {
      server.draining_since = unchanged_until;
    }
    server.listed = entry;
  }
  this->servers = std::move(next);
}

double ServerLoads::Load(const Server& server, Instant now) const {
  const double usual = this->mean_others_per_slot * server.listed.slots;
  if (server.told_at == kernel::kNever) return server.in_flight + usual;
  const double age = ToSeconds(now - server.told_at);
  const double trust = std::exp2(-age / ToSeconds(this->tuning.told_half_life));
  return server.in_flight + server.others_told * trust + usual * (1 - trust);
}

double ServerLoads::AgedWork(const Server& server, Instant now) const {
  const double mean = this->mean_work_s > 0 ? this->mean_work_s : kUnknownWorkS;
  double work = kUntriedFactor * mean;
  if (server.work_s > 0) {
    const double trust =
        std::exp2(-ToSeconds(now - server.work_at) / kWorkHalfLifeS);
    work = server.work_s * trust + kUntriedFactor * mean * (1 - trust);
  }
  return work;
}

double ServerLoads::Work(const Server& server, Instant now) const {
  const double work = this->AgedWork(server, now);
  return now < server.warm_at ? work * this->tuning.cold_factor : work;
}

/// Failures of long ago count less, so that a server that is well again is
/// tried.
double ServerLoads::AgedFailureShare(const Server& server, Instant now) const {
  if (server.failed_at == kernel::kNever) return 0;
  const double age = ToSeconds(now - server.failed_at);
  return std::min(kLargestFailureShare,
                  server.failure_share * std::exp2(-age / kWorkHalfLifeS));
}

double ServerLoads::Expected(const Server& server, Instant now) const {
  const double crowding =
      (this->Load(server, now) + 1) / std::max(1U, server.listed.slots);
  // A server that fails part of its requests costs further tries.
  const double tries = 1 / (1 - this->AgedFailureShare(server, now));
  return this->Work(server, now) * std::max(1.0, crowding) * tries;
}

bool ServerLoads::HasCapacity(const Server& server, Instant now) const {
  const double room = server.listed.slots * (1 + this->tuning.waiting_per_slot);
  return this->Load(server, now) + 1 <= room;
}

bool ServerLoads::HasCapacity(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  return found != this->servers.end() && this->HasCapacity(found->second, now);
}

bool ServerLoads::IsEjected(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  return found != this->servers.end() && now < found->second.set_aside_until;
}

Duration ServerLoads::MaxDrainingTime(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.listed.draining) {
    return Duration(0);
  }
  const Instant since = found->second.draining_since;
  return since == kernel::kNever ? Duration::max() : now - since;
}

ServerLoads::Usable ServerLoads::UsableServers(
    std::span<const std::string> tried, Instant now) const {
  Usable usable;
  for (const auto& [id, server] : this->servers) {
    if (server.listed.draining || now < server.set_aside_until) continue;
    if (std::ranges::find(tried, id) != tried.end()) continue;
    if (!this->HasCapacity(server, now)) continue;
    const bool near = server.listed.failure_domain == this->own_failure_domain;
    (near ? usable.near : usable.far).push_back(id);
  }
  return usable;
}

std::string ServerLoads::Quickest(std::span<const std::string> ids,
                                  Instant now) const {
  const auto cost = [&](const std::string& id) {
    const Server& server = this->servers.find(id)->second;
    const double expected = this->Expected(server, now);
    const bool crosses =
        server.listed.failure_domain != this->own_failure_domain;
    return crosses ? expected + this->tuning.cross_domain_penalty *
                                    this->Work(server, now)
                   : expected;
  };
  return *std::ranges::min_element(ids, {}, cost);
}

void ServerLoads::OnSent(std::string_view id) {
  const auto found = this->servers.find(id);
  if (found != this->servers.end()) found->second.in_flight += 1;
}

void ServerLoads::OnCompletion(std::string_view id, AttemptOutcome end,
                               Duration latency,
                               const std::optional<ReportedLoad>& told,
                               Instant now) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return;
  Server& server = found->second;
  const double crowding = std::max(
      1.0, this->Load(server, now) / std::max(1U, server.listed.slots));
  if (server.in_flight > 0) server.in_flight -= 1;
  if (told) {
    const double all = told->running + told->waiting;
    server.others_told = std::max(0.0, all - server.in_flight);
    server.told_at = now;
    if (told->slots > 0) server.listed.slots = told->slots;
    const double per_slot =
        server.others_told / std::max(1U, server.listed.slots);
    this->mean_others_per_slot +=
        kOthersGain * (per_slot - this->mean_others_per_slot);
  }
  switch (end) {
    case AttemptOutcome::kServed: {
      const double work = ToSeconds(latency) / crowding;
      // What was learnt long ago counts as little here as in a choice.
      if (server.work_s > 0) server.work_s = this->AgedWork(server, now);
      Blend(server.work_s, work, this->tuning.latency_gain);
      Blend(server.lasting_work_s, work, this->tuning.latency_gain);
      server.answers += 1;
      Blend(this->mean_work_s, work, this->tuning.latency_gain / 4);
      server.work_at = now;
      server.failures_in_row = 0;
      server.failure_share *= 1 - kFailureGain;
      break;
    }
    case AttemptOutcome::kShed:
      server.failure_share += kFailureGain * (1 - server.failure_share);
      server.failed_at = now;
      // One that told free slots refuses for another reason than load.
      if (told && told->HasFreeSlot()) break;
      server.others_told = std::max<double>(
          server.others_told,
          server.listed.slots * (1 + this->tuning.waiting_per_slot));
      server.told_at = now;
      break;
    case AttemptOutcome::kUnreachable:
      this->NoteFailure(server, now);
      this->SetServerAside(server, now);
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kSilent:
      this->NoteFailure(server, now);
      break;
    case AttemptOutcome::kAbandoned:
      break;
  }
}

void ServerLoads::NoteFailure(Server& server, Instant now) {
  server.failed_at = now;
  server.failures_in_row += 1;
  server.failure_share += kFailureGain * (1 - server.failure_share);
  if (server.failures_in_row >= kFailuresInRow ||
      server.failure_share > this->tuning.failure_share_limit) {
    this->SetServerAside(server, now);
  }
}

void ServerLoads::SetServerAside(Server& server, Instant now) {
  const auto aside = std::ranges::count_if(
      this->servers,
      [now](const auto& entry) { return now < entry.second.set_aside_until; });
  const double limit =
      this->tuning.set_aside_limit * static_cast<double>(this->servers.size());
  if (static_cast<double>(aside) >= limit) return;
  const unsigned doublings = std::min(server.failures_in_row, 4U);
  const Duration wait =
      this->tuning.first_set_aside * (doublings > 0 ? 1 << (doublings - 1) : 1);
  server.set_aside_until =
      now + std::min<Duration>(wait, this->tuning.longest_set_aside);
  server.failure_share = 0;
}

Duration ServerLoads::WorkTime() const {
  return FromSeconds(this->mean_work_s > 0 ? this->mean_work_s : kUnknownWorkS);
}

double ServerLoads::MaxThroughput(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return 0;
  return found->second.listed.slots * this->RelativeSpeed(id, now) /
         ToSeconds(this->WorkTime());
}

double ServerLoads::RelativeSpeed(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || this->mean_work_s <= 0) return 1;
  constexpr double kSlowest = 0.4;
  constexpr double kFastest = 2.5;
  const Server& server = found->second;
  // Few answers say little: the estimate starts at the mean.
  const double known = server.answers;
  const double work =
      (server.lasting_work_s * known + this->mean_work_s * kAnswersOfMean) /
      (known + kAnswersOfMean);
  const double warm_up = now < server.warm_at ? this->tuning.cold_factor : 1;
  return std::clamp(this->mean_work_s / (work * warm_up), kSlowest, kFastest);
}

std::vector<ServerView> ServerLoads::Views(Instant now) const {
  std::vector<ServerView> views;
  for (const auto& [id, server] : this->servers) {
    ServerView& view = views.emplace_back();
    view.id = id;
    view.address = server.listed.address;
    view.failure_domain = server.listed.failure_domain;
    view.draining = server.listed.draining;
    if (now < server.set_aside_until) {
      view.ejected_for = server.set_aside_until - now;
    }
    view.slots = server.listed.slots;
    view.load = this->Load(server, now);
    view.relative_speed = this->RelativeSpeed(id, now);
  }
  return views;
}

unsigned ServerLoads::Slots(Instant now) const {
  unsigned slots = 0;
  for (const auto& [id, server] : this->servers) {
    const bool usable =
        !server.listed.draining && now >= server.set_aside_until;
    if (usable) slots += server.listed.slots;
  }
  return slots;
}

}  // namespace chervilmux::policy
