#include "policy/server_loads.h"

#include <algorithm>
#include <functional>
#include <random>
#include <utility>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::ToSeconds;

/// Weight of the newest attempt in the failure share.
constexpr double kFailureGain = 0.15;
/// A server is ejected after this many failures in a row.
constexpr unsigned kMaxConsecutiveFailures = 3;

/// Share of a server's slots that the first requests of all instances use on
/// average after its back-off. They come at random, so that they use several
/// times as many for a moment.
constexpr double kFirstRequestsShare = 0.25;

/// A number in [0, 1) that is the same for the same `server` and `seed`.
double RandomUnitOf(const ServerRun& server, std::uint64_t seed) {
  std::seed_seq seeds{seed, seed >> 32U, server.life, server.life >> 32U,
                      std::uint64_t{std::hash<std::string>()(server.id)}};
  std::mt19937 random(seeds);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Whether an attempt that ended like this got an answer of its server.
bool IsAnswer(AttemptOutcome end) {
  return end == AttemptOutcome::kServed ||
         end == AttemptOutcome::kServerError || end == AttemptOutcome::kShed ||
         end == AttemptOutcome::kBackOff;
}

}  // namespace

std::string_view NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "served";
    case AttemptOutcome::kServerError:
      return "server-error";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "timed-out";
    case AttemptOutcome::kBackOff:
      return "back-off";
    case AttemptOutcome::kReset:
      return "reset";
    case AttemptOutcome::kInconclusive:
      return "inconclusive";
  }
  return "";
}

ServerLoads::ServerLoads(std::string own_failure_domain,
                         const ServerLoadsTuning& tuning)
    : own_failure_domain(std::move(own_failure_domain)),
      tuning(tuning),
      estimates(tuning) {}

void ServerLoads::SetInstances(std::size_t count, std::uint64_t new_seed) {
  this->instance_count = count;
  this->delay_seed = new_seed;
}

void ServerLoads::SetSubsetPosition(const SubsetPosition& position) {
  if (position == this->subset_position) return;
  this->subset_position = position;
  this->UpdateSubsets();
}

void ServerLoads::UpdateSubsets() {
  std::map<std::string_view, std::vector<std::string_view>> ids_by_domain;
  for (auto& [id, server] : this->servers) {
    server.is_preferred = false;
    ids_by_domain[server.listed.failure_domain].push_back(id);
  }
  for (auto& [domain, ids] : ids_by_domain) {
    for (const auto id : ServerSubset(std::move(ids), this->subset_position))
      this->servers.find(id)->second.is_preferred = true;
  }
}

void ServerLoads::Update(std::span<const model::BackendServer> listed,
                         Instant unchanged_until, Instant now) {
  ServerRecords next;
  for (const auto& entry : listed) {
    const auto known_server = this->servers.find(entry.id);
    const bool same_life = known_server != this->servers.end() &&
                           known_server->second.listed.life == entry.life &&
                           known_server->second.listed.address == entry.address;
    ServerRecord& server = next[entry.id];
    if (same_life) {
      server = std::move(known_server->second);
    } else {
      server.warm_up_until = now + entry.remaining_warm_up;
      this->notices.OnListedAnew({entry.id, entry.life});
    }
    if (entry.draining && !server.listed.draining) {
      server.draining_since = unchanged_until;
    }
    server.listed = entry;
  }
  this->servers = std::move(next);
  this->UpdateSubsets();
  this->notices.Update(listed, now);
  this->cold.OnListed(listed, now);
}

bool ServerLoads::HasCapacity(const ServerRecord& server, Instant now) const {
  return this->MayStart(server, now) &&
         this->estimates.Load(server, now) + 1 <=
             this->estimates.MaxLoad(server, now);
}

bool ServerLoads::HasCapacity(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return false;
  const ServerRecord& server = found->second;
  const double reported_load =
      this->estimates.ReportedLoadOfOthers(server, now);
  return now >= server.full_until && this->MayStart(server, now) &&
         server.in_flight + reported_load + 1 <=
             this->estimates.MaxLoad(server, now);
}

Duration ServerLoads::FullFor(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || now >= found->second.full_until)
    return Duration(0);
  return found->second.full_until - now;
}

void ServerLoads::BackOff(ServerRecord& server, Instant now) {
  // Requests that were sent before the server was known to be full.
  if (now < server.full_until) return;
  const auto first = FromSeconds(this->estimates.AgedServiceTime(server, now));
  server.full_backoff =
      std::min<Duration>(std::max<Duration>(first, 2 * server.full_backoff),
                         this->tuning.max_full_backoff);
  server.full_until = now + server.full_backoff;
}

std::optional<LoadEstimate> ServerLoads::EstimateLoad(std::string_view id,
                                                      Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return std::nullopt;
  return this->estimates.Describe(found->second, now);
}

bool ServerLoads::HasAnsweredSince(std::string_view id, Instant since) const {
  const auto found = this->servers.find(id);
  return found != this->servers.end() && found->second.last_answered_at > since;
}

bool ServerLoads::IsEjected(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  return found != this->servers.end() && now < found->second.ejected_until;
}

const DrainNotice* ServerLoads::FindDraining(const ServerRecord& server) const {
  return this->notices.FindDraining(server.listed.id, server.listed.life);
}

bool ServerLoads::IsDraining(const ServerRecord& server) const {
  return server.listed.draining || this->FindDraining(server) != nullptr ||
         this->evacuation.Covers(server.listed.failure_domain);
}

std::optional<Instant> ServerLoads::DrainDeadline(std::string_view id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return std::nullopt;
  const ServerRecord& server = found->second;
  std::optional<Instant> deadline;
  if (server.listed.draining) {
    deadline = server.draining_since == kernel::kNever
                   ? kernel::kNever
                   : server.draining_since + model::kLeavingServerGracePeriod;
  }
  const auto make_earlier = [&deadline](Instant other) {
    deadline = std::min(deadline.value_or(Instant::max()), other);
  };
  const DrainNotice* notice = this->FindDraining(server);
  if (notice != nullptr) make_earlier(notice->deadline);
  const auto evacuated =
      this->evacuation.OwnerDeadline(server.listed.failure_domain);
  if (evacuated) make_earlier(*evacuated);
  return deadline;
}

bool ServerLoads::OnDraining(const ServerRun& server,
                             std::string_view request_id, Instant now) {
  return this->notices.OnDraining(server, request_id, now);
}

Instant ServerLoads::BackOffEnd(const ServerRecord& server) const {
  return this->notices.BackOffEnd(server.listed.id, server.listed.life);
}

bool ServerLoads::MayStart(const ServerRecord& server, Instant now) const {
  return this->notices.MayStart(server.listed.id, server.listed.life, now);
}

bool ServerLoads::OnBackOff(const ServerRun& server, Duration time,
                            std::string_view request_id, Instant now) {
  const BackOffTime back_off{time, this->BackOffDelay(server, time)};
  return this->notices.OnBackOff(server, back_off, request_id, now);
}

Duration ServerLoads::BackOffDelay(const ServerRun& server,
                                   Duration time) const {
  const auto found = this->servers.find(server.id);
  if (found == this->servers.end()) return Duration(0);
  const unsigned slots = std::max(1U, found->second.listed.slots);
  if (this->instance_count <= slots) return Duration(0);
  const double first_requests_s = static_cast<double>(this->instance_count) *
                                  ToSeconds(this->MeanServiceTime()) / slots;
  // The requests that piled up meanwhile come over at most as long a time.
  const double longest_s = std::min(first_requests_s / kFirstRequestsShare,
                                    ToSeconds(std::min(time, kMaxBackOff)));
  return FromSeconds(longest_s * RandomUnitOf(server, this->delay_seed));
}

Duration ServerLoads::BackOffLeft(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return Duration(0);
  const Instant end = this->BackOffEnd(found->second);
  return end <= now ? Duration(0) : end - now;
}

std::optional<Duration> ServerLoads::ShortestBackOffLeft(Instant now) const {
  std::optional<Duration> shortest;
  for (const auto& [id, server] : this->servers) {
    const Instant end = this->BackOffEnd(server);
    const bool counts =
        end > now && end >= server.ejected_until && !this->IsDraining(server);
    if (counts) shortest = std::min(shortest.value_or(end - now), end - now);
  }
  return shortest;
}

bool ServerLoads::MaySend(const ServerRun& server, bool is_owner,
                          Instant now) const {
  if (now < this->notices.BackOffEnd(server.id, server.life)) return false;
  const auto listed = this->servers.find(server.id);
  if (listed != this->servers.end()) {
    const auto evacuated =
        this->evacuation.OwnerDeadline(listed->second.listed.failure_domain);
    if (evacuated && (!is_owner || now > *evacuated)) return false;
  } else if (!this->evacuation.IsEmpty()) {
    // Its failure domain is not known any more.
    return false;
  }
  const DrainNotice* notice =
      this->notices.FindDraining(server.id, server.life);
  return notice == nullptr || (is_owner && now <= notice->deadline);
}

std::optional<NoticeSource> ServerLoads::FindNotice(std::string_view id,
                                                    bool is_owner,
                                                    Instant now) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return std::nullopt;
  const model::BackendServer& listed = found->second.listed;
  const DrainNotice* notice = this->FindDraining(found->second);
  if (notice != nullptr && (!is_owner || now > notice->deadline))
    return notice->source;
  const BackOffNotice* back_off = this->notices.FindBackOff(id, listed.life);
  if (back_off != nullptr && now < back_off->until) return back_off->source;
  return std::nullopt;
}

std::optional<NoticeSource> ServerLoads::NewestNotice(Instant now) const {
  std::optional<NoticeSource> newest;
  for (const auto& [id, server] : this->servers) {
    auto source = this->FindNotice(id, false, now);
    const bool is_newer =
        source && (!newest || source->received_at > newest->received_at);
    if (is_newer) newest = std::move(source);
  }
  return newest;
}

UsableServerEntries ServerLoads::UsableServers(
    std::span<const std::string> tried_servers, Instant now) const {
  UsableServerEntries usable_servers;
  for (const auto& entry : this->servers) {
    const auto& [id, server] = entry;
    if (this->IsDraining(server) || now < server.ejected_until) continue;
    if (std::ranges::find(tried_servers, id) != tried_servers.end()) continue;
    if (!this->HasCapacity(server, now) || !this->cold.MaySend(id, now))
      continue;
    const bool is_local = IsLocal(server, this->own_failure_domain);
    auto& preferred = is_local ? usable_servers.preferred_local
                               : usable_servers.preferred_remote;
    auto& other =
        is_local ? usable_servers.other_local : usable_servers.other_remote;
    (server.is_preferred ? preferred : other).push_back(&entry);
  }
  return usable_servers;
}

const std::string& ServerLoads::MinCostServer(const ServerEntries& candidates,
                                              Instant now) const {
  const auto cost = [&](const ServerEntry* entry) {
    return CostOf(entry->second, this->estimates, this->tuning,
                  this->own_failure_domain, now);
  };
  return (*std::ranges::min_element(candidates, {}, cost))->first;
}

void ServerLoads::OnSent(std::string_view id) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return;
  found->second.in_flight += 1;
  this->notices.OnSent(found->second.listed);
}

void ServerLoads::OnCompletion(std::string_view id, AttemptOutcome end,
                               Duration latency,
                               const std::optional<ReportedLoad>& reported,
                               Instant now) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return;
  ServerRecord& server = found->second;
  const double oversubscription = this->estimates.Oversubscription(server, now);
  if (server.in_flight > 0) server.in_flight -= 1;
  this->notices.OnCompletion(server.listed, now - latency,
                             end == AttemptOutcome::kServed);
  if (reported) {
    this->estimates.OnReport(server, *reported, now);
    const double excess = reported->running + reported->waiting + 1 -
                          this->estimates.MaxLoad(server, now);
    if (excess > 0) {
      const double drain_time =
          excess * this->estimates.AgedServiceTime(server, now) *
          this->estimates.Pace(server, now) / std::max(1U, server.listed.slots);
      server.full_until =
          std::max(server.full_until, now + FromSeconds(drain_time));
    }
  }
  const bool answered_meanwhile = server.last_answered_at > now - latency;
  if (IsAnswer(end)) {
    server.last_answered_at = now;
    this->cold.OnAnswered(id, now);
  }
  switch (end) {
    case AttemptOutcome::kServed:
      this->estimates.OnServed(server, latency, oversubscription,
                               reported ? reported->pace : 1, now);
      server.consecutive_failures = 0;
      server.failure_share *= 1 - kFailureGain;
      server.full_backoff /= 2;
      break;
    case AttemptOutcome::kShed:
      server.failure_share += kFailureGain * (1 - server.failure_share);
      server.last_failed_at = now;
      // A server that reports free slots refused for another reason than load.
      if (reported && reported->HasFreeSlot()) break;
      server.other_instances_load = std::max<double>(
          server.other_instances_load,
          server.listed.slots * (1 + this->tuning.max_waiting_per_slot));
      server.reported_at = now;
      this->BackOff(server, now);
      break;
    case AttemptOutcome::kReset:
      this->BackOff(server, now);
      break;
    case AttemptOutcome::kUnreachable:
      this->RecordFailure(server, now);
      this->Eject(server, now);
      break;
    case AttemptOutcome::kTimedOut:
      // A full server may leave unanswered what it cannot queue.
      if (answered_meanwhile) {
        server.last_failed_at = now;
        server.failure_share += kFailureGain * (1 - server.failure_share);
        this->BackOff(server, now);
      } else {
        this->RecordFailure(server, now);
      }
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kBroken:
      this->RecordFailure(server, now);
      break;
    case AttemptOutcome::kBackOff:
    case AttemptOutcome::kInconclusive:
      break;
  }
}

void ServerLoads::RecordFailure(ServerRecord& server, Instant now) {
  server.last_failed_at = now;
  server.consecutive_failures += 1;
  server.failure_share += kFailureGain * (1 - server.failure_share);
  if (server.consecutive_failures >= kMaxConsecutiveFailures ||
      server.failure_share > this->tuning.max_failure_share) {
    this->Eject(server, now);
  }
}

void ServerLoads::Eject(ServerRecord& server, Instant now) {
  const auto ejected_count = std::ranges::count_if(
      this->servers,
      [now](const auto& entry) { return now < entry.second.ejected_until; });
  const double max_ejected_count = this->tuning.max_ejected_share *
                                   static_cast<double>(this->servers.size());
  if (static_cast<double>(ejected_count) >= max_ejected_count) return;
  const unsigned doublings = std::min(server.consecutive_failures, 4U);
  const Duration ejection_time = this->tuning.base_ejection_time *
                                 (doublings > 0 ? 1 << (doublings - 1) : 1);
  server.ejected_until =
      now + std::min<Duration>(ejection_time, this->tuning.max_ejection_time);
  server.failure_share = 0;
}

void ServerLoads::SetEvacuation(const Evacuation& new_evacuation, Instant now) {
  for (const auto& domain : this->evacuation.Domains()) {
    if (!new_evacuation.Covers(domain))
      this->cold.OnDomainMayBeCold(domain, now);
  }
  this->evacuation = new_evacuation;
}

double ServerLoads::MaxThroughput(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end()
             ? 0
             : this->estimates.MaxThroughput(found->second, now);
}

double ServerLoads::RelativeSpeed(std::string_view id, Instant now) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end()
             ? 1
             : this->estimates.RelativeSpeed(found->second, now);
}

std::vector<ServerView> ServerLoads::ServerViews(Instant now) const {
  std::vector<ServerView> views;
  for (const auto& [id, server] : this->servers) {
    ServerView& view = views.emplace_back();
    view.id = id;
    view.address = server.listed.address;
    view.failure_domain = server.listed.failure_domain;
    view.evacuated = this->evacuation.Covers(server.listed.failure_domain);
    view.draining = this->IsDraining(server) && !view.evacuated;
    view.cold = this->cold.IsCold(id, now);
    if (now < server.ejected_until) {
      view.ejected_for = server.ejected_until - now;
    }
    view.slots = server.listed.slots;
    view.load = this->estimates.Load(server, now);
    view.relative_speed = this->estimates.RelativeSpeed(server, now);
    view.pace = this->estimates.Pace(server, now);
  }
  return views;
}

bool ServerLoads::IsUsable(const ServerEntry& entry, Instant now) const {
  const auto& [id, server] = entry;
  return !this->IsDraining(server) && now >= server.ejected_until &&
         now >= this->BackOffEnd(server) && this->cold.IsServedHere(id, now);
}

unsigned ServerLoads::UsableSlots(Instant now) const {
  unsigned slots = 0;
  for (const auto& entry : this->servers) {
    if (this->IsUsable(entry, now)) slots += entry.second.listed.slots;
  }
  return slots;
}

bool ServerLoads::HasUsableServer(Instant now) const {
  return std::ranges::any_of(
      this->servers, [this, now](const ServerEntry& entry) {
        return entry.second.listed.slots > 0 && this->IsUsable(entry, now);
      });
}

}  // namespace chervilmux::policy
