#include "policy/cold_admission.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;

constexpr Duration kWindow = kernel::seconds(1);
/// More senders share the load of a cold domain's callers more evenly; fewer
/// leave more requests to each.
constexpr std::size_t kMaxSenders = 3;
/// Share of the bound that the senders have together. The rest is for instances
/// that wrongly think they are senders.
constexpr double kUsedShare = 0.5;
/// How long a server that could not be reached counts as cold without a word of
/// it, in times for which servers are cold: it may be down before it returns.
constexpr int kSuspicionTimes = 3;
/// Share of a failure domain's servers that could not be reached above which
/// the whole domain may return cold.
constexpr double kSuspectDomainShare = 0.5;
constexpr std::size_t kMinSuspectedServers = 3;

std::uint64_t Rank(std::string_view server, std::string_view instance) {
  const std::uint64_t seed = XXH64(server.data(), server.size(), 0);
  return XXH64(instance.data(), instance.size(), seed);
}

}  // namespace

ColdShares DivideColdLimit(double requests_per_second) {
  ColdShares shares;
  const auto used =
      static_cast<std::size_t>(std::max(1.0, requests_per_second * kUsedShare));
  shares.senders = std::min(kMaxSenders, used);
  shares.requests_per_sender = used / shares.senders;
  return shares;
}

bool IsColdSender(std::string_view server, std::string_view self,
                  std::span<const std::string> instances, std::size_t senders) {
  if (std::ranges::find(instances, self) == instances.end()) return false;
  const std::uint64_t own = Rank(server, self);
  const auto higher =
      std::ranges::count_if(instances, [&](const std::string& other) {
        return other != self && Rank(server, other) > own;
      });
  return static_cast<std::size_t>(higher) < senders;
}

const ColdAdmission::Server* ColdAdmission::Find(std::string_view id) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second;
}

ColdAdmission::Server* ColdAdmission::Find(std::string_view id) {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second;
}

void ColdAdmission::SetLimit(const ColdLimit& new_limit) {
  if (new_limit == this->limit) return;
  this->limit = new_limit;
  this->shares = DivideColdLimit(new_limit.requests_per_second);
  this->ForgetSenders();
}

void ColdAdmission::SetInstances(std::string new_self,
                                 InstanceNames by_domain) {
  this->self = std::move(new_self);
  this->instances = std::move(by_domain);
  this->all_instances.clear();
  for (const auto& [domain, names] : this->instances) {
    this->all_instances.insert(this->all_instances.end(), names.begin(),
                               names.end());
  }
  this->ForgetSenders();
}

void ColdAdmission::ForgetSenders() {
  for (auto& [id, server] : this->servers) server.is_sender.reset();
}

void ColdAdmission::SetColdUntil(Server& server, Instant until) {
  server.cold_until = std::max(server.cold_until, until);
  this->any_cold_until = std::max(this->any_cold_until, until);
}

bool ColdAdmission::IsSender(const Server& server, std::string_view id) const {
  if (!server.is_sender) {
    const auto domain = this->instances.find(server.failure_domain);
    server.is_sender = IsColdSender(
        id, this->self,
        domain == this->instances.end() ? this->all_instances : domain->second,
        this->shares.senders);
  }
  return *server.is_sender;
}

void ColdAdmission::OnListed(std::span<const model::BackendServer> listed,
                             Instant now) {
  std::map<std::string, Server, std::less<>> next;
  for (const auto& entry : listed) {
    Server* known = this->Find(entry.id);
    const bool same_life = known != nullptr && known->life == entry.life;
    const Duration warm_up = entry.remaining_warm_up;
    const bool is_news = !same_life || known->stated_warm_up != warm_up;
    Server& server = next[entry.id];
    if (same_life) server = std::move(*known);
    if (server.failure_domain != entry.failure_domain) server.is_sender.reset();
    server.failure_domain = entry.failure_domain;
    server.life = entry.life;
    server.stated_warm_up = warm_up;
    server.is_listed = true;
    if (!is_news || warm_up.count() <= 0) continue;
    this->SetColdUntil(server, now + warm_up);
    server.stated_cold_until = now + warm_up;
    // Instances begin at different times, or the first request of each would
    // arrive in the same second.
    const double phase = static_cast<double>(Rank(entry.id, this->self)) /
                         static_cast<double>(UINT64_MAX);
    server.next_to_owner =
        now +
        kernel::FromSeconds(phase * kernel::ToSeconds(this->OwnerPeriod()));
  }
  for (auto& [id, server] : this->servers) {
    if (next.contains(id) || server.cold_until <= now) continue;
    server.is_listed = false;
    next.emplace(id, std::move(server));
  }
  this->servers = std::move(next);
}

Duration ColdAdmission::OwnerPeriod() const {
  const auto count =
      static_cast<double>(std::max<std::size_t>(1, this->all_instances.size()));
  const double rate =
      std::max(1.0, this->limit.requests_per_second * kUsedShare);
  return kernel::FromSeconds(count / rate);
}

Instant ColdAdmission::NextSendToOwner(std::string_view id, Instant now) const {
  const Server* server = this->FindCold(id, now);
  if (server == nullptr || now >= server->stated_cold_until) return now;
  return std::min(server->next_to_owner, server->stated_cold_until);
}

void ColdAdmission::OnDomainMayBeCold(std::string_view domain, Instant now) {
  this->SuspectDomain(domain, now + this->limit.cold_time);
}

void ColdAdmission::SuspectDomain(std::string_view domain, Instant until) {
  for (auto& [id, server] : this->servers) {
    if (server.failure_domain != domain) continue;
    server.is_suspected = true;
    this->SetColdUntil(server, until);
  }
}

void ColdAdmission::OnUnreachable(std::string_view id, Instant now) {
  Server* server = this->Find(id);
  if (server == nullptr || !this->limit.IsSet()) return;
  const Instant until = now + kSuspicionTimes * this->limit.cold_time;
  server->is_suspected = true;
  this->SetColdUntil(*server, until);
  std::size_t suspected = 0;
  std::size_t all = 0;
  for (const auto& [other_id, other] : this->servers) {
    if (!other.is_listed || other.failure_domain != server->failure_domain)
      continue;
    all += 1;
    if (other.is_suspected && other.cold_until > now) suspected += 1;
  }
  const bool most_are_suspected =
      suspected >= kMinSuspectedServers &&
      static_cast<double>(suspected) >=
          kSuspectDomainShare * static_cast<double>(all);
  if (most_are_suspected) this->SuspectDomain(server->failure_domain, until);
}

void ColdAdmission::OnAnswered(std::string_view id, Instant now) {
  Server* server = this->Find(id);
  if (server == nullptr || !server->is_suspected) return;
  server->is_suspected = false;
  server->cold_until =
      std::min(server->cold_until, now + this->limit.cold_time);
}

const ColdAdmission::Server* ColdAdmission::FindCold(std::string_view id,
                                                     Instant now) const {
  if (!this->limit.IsSet() || now >= this->any_cold_until) return nullptr;
  const Server* server = this->Find(id);
  return server != nullptr && now < server->cold_until ? server : nullptr;
}

bool ColdAdmission::IsCold(std::string_view id, Instant now) const {
  return this->FindCold(id, now) != nullptr;
}

bool ColdAdmission::MaySend(std::string_view id, Instant now) const {
  const Server* server = this->FindCold(id, now);
  if (server == nullptr) return true;
  if (!this->IsSender(*server, id)) return false;
  const auto recent = std::ranges::count_if(
      server->sent_at, [now](Instant sent) { return now - sent <= kWindow; });
  return static_cast<std::size_t>(recent) < this->shares.requests_per_sender;
}

bool ColdAdmission::IsServedHere(std::string_view id, Instant now) const {
  const Server* server = this->FindCold(id, now);
  return server == nullptr || this->IsSender(*server, id);
}

void ColdAdmission::OnSent(std::string_view id, Instant now) {
  if (!this->IsCold(id, now)) return;
  Server& server = *this->Find(id);
  std::erase_if(server.sent_at,
                [now](Instant sent) { return now - sent > kWindow; });
  server.sent_at.push_back(now);
  server.next_to_owner = now + this->OwnerPeriod();
}

std::size_t ColdAdmission::ColdCount(Instant now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->servers, [&](const auto& entry) {
        return entry.second.is_listed && this->IsCold(entry.first, now);
      }));
}

}  // namespace chervilmux::policy
