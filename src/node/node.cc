#include "node/node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "kernel/json.h"
#include "kernel/memory.h"
#include "node/caller_limits.h"
#include "node/claim_stagger.h"
#include "observe/log.h"
#include "policy/body_admission.h"
#include "policy/memory_budget.h"

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;

/// Everything that waits for time is looked at this often: fine against the
/// 100 ms and more that requests take.
constexpr Duration kTickPeriod = milliseconds(10);
/// Length of one waiting call for changes. Longer costs fewer calls; shorter
/// finds a connection that died silently sooner.
constexpr Duration kFollowWait = kernel::seconds(5);
/// The same for tables whose news must be in force after 2 s: each answer
/// proves the copy of its table.
constexpr Duration kProofWait = milliseconds(700);
/// A path without a route is called unknown only if the configuration is known
/// to be at most this old: a new one must be in force after 2 s.
constexpr Duration kCurrentAge = milliseconds(1800);
constexpr Duration kRegisterRetry = milliseconds(500);

/// When a caller whose body found no memory may come again. Bodies are whole,
/// or given up, after the time that callers have to send them (3 s); spread, so
/// that refused callers do not come together.
constexpr Duration kMinMemoryWait = kernel::seconds(1);
constexpr Duration kMaxMemoryWait = kernel::seconds(3);

/// How often the memory that messages may use is reckoned anew.
constexpr Duration kMemoryPeriod = milliseconds(500);

InstanceRecord Introduce(const NodeSettings& settings) {
  InstanceRecord record;
  record.name = settings.name;
  record.failure_domain = settings.failure_domain;
  record.peer_address = settings.peer_address.ToString();
  record.processor_share = settings.processor_share;
  return record;
}

std::uint64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

Node::Node(kernel::Registry& registry, kernel::ReactorTask& task,
           net::HttpClient& client, NodeSettings settings)
    : registry(registry),
      task(task),
      client(client),
      settings(std::move(settings)),
      formats(registry.Find<Formats>("formats")),
      store(registry.Find<store::MetadataStore>("store")),
      metrics(registry.Find<observe::Metrics>("metrics")),
      random(std::random_device{}()),
      links(task),
      self(Introduce(this->settings)),
      readers(this->self),
      configuration_table(this->store,
                          std::string(this->formats.ConfigurationTable()),
                          kProofWait,
                          {[this] { this->OnConfiguration(); },
                           [this] { this->OnProofFailed(); },
                           [this](auto era) { this->OnLaterEra(era); }}),
      server_table(
          this->store, std::string(this->formats.ServerTable()), kProofWait,
          {[this] { this->OnServerRows(); }, [this] { this->OnProofFailed(); },
           [this](auto era) { this->OnLaterEra(era); }}),
      instances_table(this->store, std::string(kInstancesTable), kFollowWait,
                      {[this] { this->OnInstances(); }, [] {},
                       [this](auto era) { this->OnLaterEra(era); }}),
      ranges_table(this->store, std::string(kRangesTable), kFollowWait,
                   {[this] { this->OnRanges(); }, [] {},
                    [this](auto era) { this->OnLaterEra(era); }}) {
  this->UseSeeds();
  this->registry.Add("server_links", this->links);
  dispatch::DispatcherSettings limits;
  limits.failure_domain = this->settings.failure_domain;
  limits.retry_ratio = this->settings.retry_ratio;
  limits.retry_slack = this->settings.retry_slack;
  limits.cold_rate_factor = this->settings.cold_rate_factor;
  limits.cold_rate_slack = this->settings.cold_rate_slack;
  this->dispatcher =
      std::make_unique<dispatch::Dispatcher>(this->registry, limits);
  this->dispatcher->OnKeyUsed(
      [this](std::string_view service, ranges::Key key) {
        const auto found = this->key_services.find(service);
        if (found != this->key_services.end())
          found->second->Sketch().CountRequest(key);
      });
  this->dispatcher->OnServerNotice(
      [this](std::string_view service, const policy::ServerNotice& notice) {
        const auto found = this->key_services.find(service);
        if (found != this->key_services.end())
          found->second->OnOwnNotice(notice);
      });
  this->dispatcher->OnStaleOwners([this](std::string_view) {
    this->next_sync = std::min(this->next_sync, kernel::Now());
  });
}

Node::~Node() = default;

std::unique_ptr<net::HttpFront> Node::PlainFront(PlainHandler handler) {
  net::FrontEvents events;
  events.on_request = [this, handler](const net::RequestRef& ref,
                                      const net::HttpRequest& request) {
    (this->*handler)(ref, request);
  };
  events.on_gone = [](const net::RequestRef&) {};
  events.refuse = [](const kernel::Error& error) {
    return net::PlainAnswer(kernel::TraitsOf(error.kind).status, error.detail);
  };
  return std::make_unique<net::HttpFront>(this->task, std::move(events));
}

kernel::Result<void> Node::Open() {
  auto& wire = this->registry.Find<dispatch::WireProtocol>("wire");
  net::FrontEvents events;
  events.on_request = [this](const net::RequestRef& ref,
                             net::HttpRequest request) {
    this->dispatcher->OnRequest(ref, std::move(request));
  };
  events.on_gone = [this](const net::RequestRef& ref) {
    this->dispatcher->OnCallerDisconnected(ref);
  };
  events.on_close = [this](const net::ConnectionClose& close) {
    this->OnCallerConnectionClosed(close);
  };
  events.decide_body = [](const net::BodyCharges& charges,
                          const net::BodyDemand& demand,
                          std::span<const net::BodyInProgress> bodies) {
    return policy::DecideBody(charges, demand, bodies, kernel::Now());
  };
  events.refuse = [this, &wire](const kernel::Error& error) {
    this->metrics.CountError("chervilmux_refused_total", error.kind);
    observe::LogWarn("request_unreadable", {{"why", error.detail}});
    const bool may_return = error.kind == ErrorKind::kMemoryShort;
    return wire.MakeRefusal(
        error, may_return ? this->SpreadMemoryWait() : Duration(0), "");
  };
  this->callers =
      std::make_unique<net::HttpFront>(this->task, std::move(events));
  this->dispatcher->SetFront(*this->callers);
  this->readiness = this->PlainFront(&Node::OnReadiness);
  this->peers = this->PlainFront(&Node::OnPeerRequest);
  this->operators = this->PlainFront(&Node::OnOperatorRequest);
  BOOST_OUTCOME_TRY(this->callers->Listen(this->settings.caller_address));
  BOOST_OUTCOME_TRY(this->readiness->Listen(this->settings.readiness_address));
  BOOST_OUTCOME_TRY(this->peers->Listen(this->settings.peer_address));
  BOOST_OUTCOME_TRY(this->operators->Listen(this->settings.metrics_address));
  this->task.Every(kTickPeriod, [this] { this->Tick(); });
  return kernel::Ok();
}

/// Logs the ends that may have cost a caller its answer, and counts all.
void Node::OnCallerConnectionClosed(const net::ConnectionClose& close) {
  const std::string_view why = net::NameOf(close.end);
  this->metrics
      .Count("chervilmux_caller_connections_closed_total",
             observe::Label("why", why))
      .Add();
  const bool by_caller = close.end == net::ConnectionEnd::kCallerClosed;
  const bool harmless = close.end != net::ConnectionEnd::kUnreachable &&
                        close.unread == 0 && close.unsent == 0;
  if (by_caller || harmless) return;
  observe::LogWarn("caller_connection_closed",
                   {{"why", std::string(why)},
                    {"idle_ms", std::to_string(kernel::ToMs(close.idle))},
                    {"pending", std::to_string(close.pending)},
                    {"unread_bytes", std::to_string(close.unread)},
                    {"unsent_bytes", std::to_string(close.unsent)},
                    {"behind_ms", std::to_string(kernel::ToMs(close.behind))}});
}

std::vector<TableFollower*> Node::Followers() {
  return {&this->configuration_table, &this->server_table,
          &this->instances_table, &this->ranges_table};
}

std::array<TableFollower*, 2> Node::ProvedTables() {
  return {&this->configuration_table, &this->server_table};
}

void Node::Tick() {
  const Instant now = kernel::Now();
  this->readers.NoteKnownAsOf(std::min(this->configuration_table.KnownAsOf(),
                                       this->server_table.KnownAsOf()));
  const bool follows = this->FollowsStore(now);
  // Leaders tell owners sooner than the store does.
  const bool owners_told =
      std::ranges::all_of(this->key_services, [now](const auto& entry) {
        return entry.second->Grantor().HasLeaderContact(now);
      });
  for (TableFollower* follower : this->Followers()) {
    const bool told = owners_told && follower == &this->ranges_table;
    if ((follows && !told) || !follower->Listed()) follower->CheckTime(now);
  }
  this->Register();
  this->UseServers();
  this->dispatcher->SetConfigurationIsCurrent(
      this->configuration_table.KnownAsOf() > now - kCurrentAge);
  for (const auto& [name, service] : this->key_services) service->Tick(now);
  this->dispatcher->DispatchWaitingRequests(now);
  this->links.CheckTime(now);
  this->ShareMemory(now);
  this->Sync(now);
  if (this->stop) this->ContinueStop(now);
}

Duration Node::SpreadMemoryWait() {
  std::uniform_int_distribution<Duration::rep> wait(kMinMemoryWait.count(),
                                                    kMaxMemoryWait.count());
  return Duration(wait(this->random));
}

void Node::ShareMemory(Instant now) {
  this->links.SetReadLimit(policy::ServerReadLimit(
      this->memory_budget, this->callers->UnsentBytes()));
  if (now < this->next_memory_share) return;
  this->next_memory_share = now + kMemoryPeriod;
  policy::MemoryUse use;
  use.limit = this->settings.memory_bytes;
  use.resident = kernel::ResidentBytes();
  use.messages = this->links.BufferedBytes() + this->client.BufferedBytes() +
                 this->callers->UnsentBytes() + this->callers->BufferedBytes();
  use.requests = this->callers->ChargedBytes();
  const policy::MemoryBudget budget = policy::ShareMemory(use);
  this->memory_budget = budget;
  this->links.SetMaxBufferedBytes(budget.server_answers);
  this->client.SetMaxBufferedBytes(budget.control_answers);
  this->callers->SetMaxUnsentBytes(budget.unsent_answers);
  this->callers->SetMaxRequestBytes(budget.requests, budget.request_alone);
  const auto set_held = [this](std::string_view owner, std::size_t bytes) {
    this->metrics.Count("chervilmux_held_bytes", observe::Label("owner", owner))
        .SetTo(bytes);
  };
  set_held("requests", this->callers->BufferedBytes());
  set_held("unsent-answers", this->callers->UnsentBytes());
  set_held("server-answers", this->links.BufferedBytes());
  set_held("control-answers", this->client.BufferedBytes());
  this->metrics.Count("chervilmux_resident_bytes").SetTo(use.resident);
}

bool Node::FollowsStore(Instant now) const {
  const bool leads = std::ranges::any_of(
      this->key_services,
      [](const auto& entry) { return entry.second->Leads(); });
  return leads || this->readers.Follows(now);
}

/// A connection to the store that died without a sign is noticed first by a
/// call with a short wait; those with a long one may hang on dead ones too.
void Node::OnProofFailed() {
  const Instant now = kernel::Now();
  this->instances_table.Renew(now);
  this->ranges_table.Renew(now);
}

/// Other tables' calls may wait for changes of the earlier era for seconds.
void Node::OnLaterEra(std::uint64_t era) {
  for (TableFollower* follower : this->Followers()) follower->NoteEra(era);
}

void Node::OnConfiguration() {
  this->OnEvacuationRows();
  const auto& rows = this->configuration_table.Copy().Rows();
  const auto found = rows.find(this->formats.ConfigurationKey());
  if (found == rows.end()) return;
  const store::Row& row = found->second;
  auto decoded = this->formats.DecodeConfiguration(row.value);
  if (!decoded) {
    const replica::TableVersion bad_row{this->configuration_table.Copy().Era(),
                                        row.version};
    if (bad_row != this->bad_configuration_row) {
      observe::LogError("configuration_invalid",
                        {{"row_version", std::to_string(row.version)},
                         {"why", decoded.error().detail}});
    }
    this->bad_configuration_row = bad_row;
    return;
  }
  this->TakeConfiguration(std::move(decoded.value()), row.value);
}

void Node::OnEvacuationRows() {
  const std::string_view prefix = this->formats.EvacuationPrefix();
  const auto& rows = this->configuration_table.Copy().Rows();
  policy::FailureDomains domains;
  for (auto row = rows.lower_bound(prefix);
       row != rows.end() && row->first.starts_with(prefix); ++row) {
    domains.insert(row->first.substr(prefix.size()));
  }
  const bool follows = this->settings.evacuation_bound.count() > 0;
  const auto ignored = follows ? policy::FailureDomains() : domains;
  if (ignored != this->ignored_domains && !ignored.empty()) {
    observe::LogWarn("evacuation_ignored", {{"why",
                                             "the settings name no "
                                             "bound for evacuations"}});
  }
  this->ignored_domains = ignored;
  if (!follows) domains.clear();
  const auto change =
      this->evacuation.Update(domains, this->configuration_table.KnownAsOf(),
                              this->settings.evacuation_bound);
  if (!change.IsEmpty()) this->NoteEvacuation(change);
}

void Node::NoteEvacuation(const policy::EvacuationChange& change) {
  const Instant now = kernel::Now();
  for (const auto& domain : change.begun) {
    const auto deadline = this->evacuation.OwnerDeadline(domain);
    const bool is_open = deadline && *deadline > now;
    observe::LogWarn(
        "evacuation_begins",
        {{"failure_domain", domain},
         {"owners_served_for_ms",
          std::to_string(is_open ? kernel::ToMs(*deadline - now) : 0)}});
  }
  for (const auto& domain : change.ended)
    observe::LogInfo("evacuation_ends", {{"failure_domain", domain}});
  this->metrics.Count("chervilmux_evacuated_domains")
      .SetTo(this->evacuation.Domains().size());
  this->dispatcher->SetEvacuation(this->evacuation);
  this->TellKeyServicesOfServers(now);
  this->CheckEvacuatedDomains();
}

void Node::CheckEvacuatedDomains() {
  const auto& in_use = this->servers.InUse();
  if (in_use.empty()) return;
  policy::FailureDomains unknown = this->evacuation.Domains();
  for (const auto& [name, instance] : this->readers.Instances())
    unknown.erase(instance.failure_domain);
  std::set<std::string, std::less<>> evacuated;
  std::set<std::string, std::less<>> served;
  for (const auto& [id, server] : in_use) {
    unknown.erase(server.failure_domain);
    if (this->evacuation.Covers(server.failure_domain)) {
      evacuated.insert(server.service);
    } else if (!server.draining) {
      served.insert(server.service);
    }
  }
  std::erase_if(evacuated, [&served](const std::string& service) {
    return served.contains(service);
  });
  for (const auto& domain : unknown) {
    if (this->unknown_domains.contains(domain)) continue;
    observe::LogWarn("evacuation_without_servers",
                     {{"failure_domain", domain}});
    this->metrics.Count("chervilmux_evacuations_without_servers_total").Add();
  }
  this->unknown_domains = std::move(unknown);
  for (const auto& service : evacuated) {
    if (this->evacuated_services.contains(service)) continue;
    observe::LogError("evacuation_leaves_no_server", {{"service", service}});
  }
  this->evacuated_services = std::move(evacuated);
}

void Node::TakeConfiguration(model::Configuration decoded,
                             std::string_view text) {
  const bool newer =
      !this->configuration || decoded.version > this->configuration->version;
  if (!newer) return;
  this->configuration =
      std::make_shared<const model::Configuration>(std::move(decoded));
  this->configuration_text = text;
  observe::LogInfo(
      "configuration_in_force",
      {{"version", std::to_string(this->configuration->version)},
       {"routes", std::to_string(this->configuration->routes.size())},
       {"services", std::to_string(this->configuration->services.size())}});
  for (const auto& entry : this->configuration->unusable_entries) {
    observe::LogWarn("configuration_entry_unusable",
                     {{"version", std::to_string(this->configuration->version)},
                      {"why", entry}});
    this->metrics.Count("chervilmux_configuration_entries_unusable_total")
        .Add();
  }
  this->metrics.Count("chervilmux_configuration_version")
      .SetTo(this->configuration->version);
  this->callers->SetLimits(
      CallerFrontLimits(this->configuration->limits, this->settings));
  this->dispatcher->SetConfiguration(this->configuration);
  this->UpdateKeyServices();
}

void Node::UpdateKeyServices() {
  for (const auto& [name, service] : this->configuration->services) {
    if (!service.keyed || this->key_services.contains(name)) continue;
    KeyServiceEvents events;
    events.on_owners = [this](const ranges::RangeTable& owners) {
      this->dispatcher->SetOwners(owners);
      this->NoteLeaders();
    };
    events.on_publish = [this](const ranges::RangeDelta& change) {
      this->Publish(change);
    };
    ranges::GrantorTiming timing;
    timing.grant_duration =
        std::min(timing.grant_duration, this->settings.longest_hold);
    const double stagger = ClaimStagger(
        this->settings.processor_share,
        std::uniform_real_distribution<double>(0, 1)(this->random));
    auto created =
        std::make_unique<KeyService>(this->registry, name, this->settings.name,
                                     stagger, timing, std::move(events));
    created->Grantor().SetInstanceEndedCheck(
        [this](std::string_view instance, std::uint64_t life) {
          const auto known = this->readers.Instances().find(instance);
          return known != this->readers.Instances().end() &&
                 known->second.life > life;
        });
    created->Grantor().SetCapacityLookup(
        [this, service_name = name](std::string_view id) {
          return this->dispatcher->RelativeSpeed(service_name, id);
        });
    created->Grantor().SetColdLookup(
        [this, service_name = name](std::string_view id) {
          return this->dispatcher->IsCold(service_name, id);
        });
    created->Grantor().SetOrderWaitLookup([this, service_name = name] {
      return this->dispatcher->LongestQueueTime(service_name);
    });
    if (this->registered) created->Grantor().EnableLeadership(this->self.life);
    this->key_services[name] = std::move(created);
  }
  this->OnRanges();
  this->OnServerRows();
  this->TellKeyServicesOfServers(kernel::Now());
}

void Node::TellKeyServicesOfServers(Instant now) {
  std::map<std::string_view, std::vector<model::BackendServer>> by_service;
  for (const auto& [id, server] : this->servers.InUse()) {
    auto& listed = by_service[server.service].emplace_back(server);
    // Its keys move as if it left: with handover, and it gets no others.
    if (this->evacuation.Covers(server.failure_domain)) listed.draining = true;
  }
  for (const auto& [name, service] : this->key_services)
    service->OnServerList(by_service[name], now);
}

void Node::NoteLeaders() {
  std::set<std::string, std::less<>> leaders;
  for (const auto& [name, service] : this->key_services) {
    leaders.insert(service->Owners().leader);
  }
  this->readers.SetLeaders(std::move(leaders));
}

void Node::UseSeeds() {
  std::vector<std::string> addresses;
  for (const auto& seed : this->settings.seeds)
    addresses.push_back(seed.ToString());
  this->readers.SetSeeds(std::move(addresses));
}

void Node::OnServerRows() {
  ServersById listed;
  std::set<std::string, std::less<>> unusable;
  for (const auto& [id, row] : this->server_table.Copy().Rows()) {
    auto decoded = this->formats.DecodeServer(id, row.value);
    if (decoded) {
      listed[id] = std::move(decoded.value());
      continue;
    }
    this->metrics.Count("chervilmux_server_rows_unusable_total").Add();
    unusable.insert(id);
    if (this->unusable_rows.contains(id)) continue;
    observe::LogWarn("server_row_unusable",
                     {{"id", id}, {"why", decoded.error().detail}});
  }
  this->unusable_rows = std::move(unusable);
  const std::uint64_t era = this->server_table.Copy().Era();
  if (era > this->servers_era) this->servers.NoteRestored();
  this->servers_era = era;
  this->servers.Update(listed, this->server_table.KnownAsOf(), kernel::Now());
}

void Node::UseServers() {
  const Instant now = kernel::Now();
  this->servers.SetStoreFailure(this->server_table.Proof().store_failed_at);
  const std::size_t excused = this->servers.Excused();
  const bool changed = this->servers.Refresh(now);
  if (this->servers.Excused() > excused) this->LogExcusedServers(now);
  if (!changed) return;
  dispatch::ServerDirectory directory;
  for (const auto& [id, server] : this->servers.InUse()) {
    directory[server.service].push_back(server);
  }
  std::string counts;
  for (const auto& [service, list] : directory) {
    counts += service + "=" + std::to_string(list.size()) + " ";
  }
  observe::LogInfo("servers_in_use", {{"count_by_service", counts}});
  this->TellKeyServicesOfServers(now);
  this->CheckEvacuatedDomains();
  this->dispatcher->SetServers(std::move(directory),
                               this->servers.UnchangedUntil());
}

void Node::LogExcusedServers(Instant now) {
  const Instant failed_at = this->server_table.Proof().store_failed_at;
  observe::LogWarn(
      "missing_servers_kept",
      {{"count", std::to_string(this->servers.Excused())},
       {"store_failed_ms_ago", std::to_string(kernel::ToMs(now - failed_at))}});
}

void Node::OnInstances() {
  // Rows are never removed: those that are missing were lost with an earlier
  // era of the store, and their instances register themselves again.
  InstancesByName instances = this->readers.Instances();
  for (const auto& [name, row] : this->instances_table.Copy().Rows()) {
    auto decoded = DecodeInstance(row.value);
    if (decoded) {
      InstanceRecord& known = instances[name];
      if (decoded.value().life >= known.life)
        known = std::move(decoded.value());
    } else {
      observe::LogWarn("instance_row_unusable",
                       {{"name", name}, {"why", decoded.error().detail}});
    }
  }
  this->readers.SetInstances(std::move(instances));
  this->TellDispatcherOfInstances();
}

void Node::TellDispatcherOfInstances() {
  this->dispatcher->SetInstanceCount(this->readers.Instances().size());
  policy::SubsetPosition position{0, 0};
  policy::InstanceNames names;
  for (const auto& [name, record] : this->readers.Instances()) {
    names[record.failure_domain].push_back(name);
    if (record.failure_domain != this->self.failure_domain) continue;
    position.instances += 1;
    if (name < this->self.name) position.index += 1;
  }
  this->dispatcher->SetSubsetPosition(position);
  this->dispatcher->SetInstanceNames(this->self.name, std::move(names));
}

void Node::OnRanges() {
  for (const auto& [key, row] : this->ranges_table.Copy().Rows()) {
    auto decoded = ranges::DecodeTable(row.value);
    if (!decoded) {
      observe::LogError("owners_unreadable",
                        {{"row", key}, {"why", decoded.error().detail}});
      continue;
    }
    const auto service = this->key_services.find(decoded.value().service);
    if (service == this->key_services.end()) continue;
    service->second->OnView(decoded.value(), false);
  }
}

bool Node::RegistrationIsLost() {
  const replica::RowReplica& copy = this->instances_table.Copy();
  if (this->registration_checked == copy.AsOf()) return false;
  this->registration_checked = copy.AsOf();
  if (copy.AsOf() < this->registered_at) return false;
  const auto row = copy.Rows().find(this->self.name);
  if (row == copy.Rows().end()) return true;
  const auto decoded = DecodeInstance(row->second.value);
  return !decoded || decoded.value().life < this->self.life;
}

/// Registers this start of the instance, with a life above that of all earlier
/// ones of its name even if the wall clock went back. The life stays the same
/// when the store has lost the row and it is written again.
void Node::Register() {
  const Instant now = kernel::Now();
  const bool known = this->instances_table.Listed() ||
                     this->instances_table.Copy().Version() > 0;
  if (this->registering || !known || now < this->next_register) return;
  if (this->registered && !this->RegistrationIsLost()) return;
  this->registering = true;
  if (!this->registered) {
    const auto earlier = this->readers.Instances().find(this->self.name);
    const std::uint64_t floor = earlier == this->readers.Instances().end()
                                    ? 0
                                    : earlier->second.life + 1;
    this->self.life = std::max({this->self.life, WallMs(), floor});
  }
  store::Transaction transaction;
  store::Row& row = transaction.writes.emplace_back();
  row.table = std::string(kInstancesTable);
  row.key = this->self.name;
  row.value = EncodeInstance(this->self);
  this->store.Commit(transaction, [this](const store::CommitReply& reply) {
    this->registering = false;
    this->next_register = kernel::Now() + kRegisterRetry;
    this->registration_checked.reset();
    if (reply.status != store::StoreStatus::kDone) return;
    this->registered = true;
    this->registered_at = {reply.era, reply.version};
    observe::LogInfo("registered", {{"life", std::to_string(this->self.life)}});
    for (const auto& [name, service] : this->key_services) {
      service->Grantor().EnableLeadership(this->self.life);
    }
  });
}

bool Node::Ready() const {
  return !this->stop && this->configuration && !this->servers.InUse().empty();
}

void Node::OnReadiness(const net::RequestRef& ref,
                       const net::HttpRequest& request) {
  if (request.url != this->formats.ReadinessPath()) {
    this->readiness->Answer(ref, net::PlainAnswer(404));
    return;
  }
  this->readiness->Answer(ref, net::PlainAnswer(this->Ready() ? 200 : 503));
}

void Node::Apply(const NodeSettings& changed) {
  this->dispatcher->SetRetryLimits(changed.retry_ratio, changed.retry_slack);
  this->dispatcher->SetColdLimits(changed.cold_rate_factor,
                                  changed.cold_rate_slack);
  this->settings.cold_rate_factor = changed.cold_rate_factor;
  this->settings.cold_rate_slack = changed.cold_rate_slack;
  this->settings.evacuation_bound = changed.evacuation_bound;
  this->OnEvacuationRows();
  this->settings.retry_ratio = changed.retry_ratio;
  this->settings.retry_slack = changed.retry_slack;
  this->settings.seeds = changed.seeds;
  this->UseSeeds();
  this->settings.stop_grace = changed.stop_grace;
}

}  // namespace chervilmux::node
