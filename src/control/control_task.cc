#include "control/control_task.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"
#include "observe/log.h"
#include "routing/cell_id.h"

namespace chervilmux::control {
namespace {

using kernel::Instant;

/// Period of the cells' ticks and of new routing views.
constexpr kernel::Duration kTickPeriod = kernel::milliseconds(20);
/// Period of reads of the platform's instance list.
constexpr kernel::Duration kListPeriod = kernel::milliseconds(500);
/// Period of reads of the manifest row in the store.
constexpr kernel::Duration kManifestPeriod = kernel::milliseconds(500);
constexpr kernel::Duration kMetricsPeriod = kernel::seconds(1);
constexpr kernel::Duration kHeartbeatPeriod = kernel::milliseconds(500);
/// Time without a heartbeat after which a peer does not count as live. Two
/// heartbeats in a row may be lost if each peer gets one per period.
constexpr kernel::Duration kPeerSuspectAfter = kernel::milliseconds(1750);
/// Time limit for fetching the manifest from a peer.
constexpr kernel::Duration kManifestFetchTimeout = kernel::seconds(2);
/// Maximum number of peers that get each heartbeat; peers take turns. Seeds are
/// added to them.
constexpr std::size_t kMaxHeartbeatTargets = 12;
/// Number of other peers' addresses in each heartbeat.
constexpr std::size_t kKnownPeersPerHeartbeat = 2;
/// Addresses from heartbeats are added to the seeds up to this number.
constexpr std::size_t kMaxSeeds = 32;
/// Number of instances per failure domain that read the manifest row.
constexpr std::size_t kStoreReadersPerDomain = 2;
/// Maximum number of connections to one server for control requests.
constexpr long kControlConnectionsPerServer = 2;
/// Maximum size of a peer's answer that contains its manifest: 64 MiB.
constexpr std::size_t kMaxManifestBytes = 64U << 20U;

/// The body of a JSON-RPC call without parameters.
std::string RpcBody(const char* method) {
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = method;
  return kernel::PrintJson(call);
}

}  // namespace

ControlTask::ControlTask(const kernel::Registry& registry,
                         ControlSettings settings)
    : settings(std::move(settings)),
      metrics(registry.Find<observe::Metrics>("metrics")),
      http(*this, kControlConnectionsPerServer),
      peer_socket(*this,
                  [this](std::string_view bytes) { this->OnDatagram(bytes); }),
      peers(this->settings.self, this->settings.failure_domain,
            kPeerSuspectAfter) {}

ControlTask::~ControlTask() { this->Stop(); }

kernel::Result<void> ControlTask::Open() {
  BOOST_OUTCOME_TRYV(this->peer_socket.Open(this->settings.peer_address));
  this->Every(kTickPeriod, [this] { this->Tick(); });
  this->Every(kListPeriod, [this] { this->StartListRead(); });
  this->Every(kManifestPeriod, [this] { this->StartManifestRead(); });
  this->Every(kMetricsPeriod, [this] { this->PublishMetrics(); });
  this->Post([this] {
    this->StartListRead();
    this->StartManifestRead();
  });
  return kernel::Ok();
}

// --- Messages ----------------------------------------------------------------

void ControlTask::RecordMovingRequests(std::string cell,
                                       ownership::RowVersion version,
                                       std::string server, std::size_t count) {
  this->Post([this, cell = std::move(cell), version, server = std::move(server),
              count] {
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) return;
    ownership::CellMachine& machine = found->second.machine;
    if (machine.NewestRow().version != version) return;
    machine.OnMovingRequestCount(server, count);
  });
}

void ControlTask::RequestStatus(std::function<void(ControlStatus)> done) {
  this->Post([this, done = std::move(done)] {
    ControlStatus status;
    status.manifest_revision = this->manifest.Revision();
    for (const auto& [name, cell] : this->cells) {
      const ownership::CellMachine& machine = cell.machine;
      status.cells.push_back(
          {name, std::string(ownership::RoleName(machine.CurrentRole())),
           machine.NewestRow(), machine.ServingRow().version,
           machine.IsChangingOwners()});
    }
    for (const auto& [name, peer] : this->peers.Peers()) {
      status.peers.push_back(peer);
    }
    done(std::move(status));
  });
}

void ControlTask::RequestManifest(std::function<void(std::string)> done) {
  this->Post([this, done = std::move(done)] {
    const auto current = this->manifest.Current();
    done(current ? current->manifest.text : std::string());
  });
}

void ControlTask::BeginStop(Instant deadline, std::function<void()> done) {
  this->Post([this, deadline, done = std::move(done)]() mutable {
    this->stopping = true;
    this->heartbeat_requested = true;
    this->stop_deadline = deadline;
    this->stop_handler = std::move(done);
    for (auto& [name, cell] : this->cells) cell.machine.BeginStop();
  });
}

// --- Periodic work -----------------------------------------------------------

void ControlTask::Tick() {
  const Instant now = kernel::Now();
  for (auto& [name, cell] : this->cells) {
    cell.machine.OnMembership(this->peers.MembershipForCell(name, now), now);
    ownership::Actions actions;
    cell.machine.OnTick(now, actions);
    this->ExecuteActions(name, cell, actions);
  }
  this->SendHeartbeats();
  this->FetchManifestFromPeer();
  this->PublishRoutingView();
  this->ReportStopIfDone(now);
}

void ControlTask::ReportStopIfDone(Instant now) {
  if (!this->stopping || !this->stop_handler) return;
  const bool leads = std::ranges::any_of(this->cells, [](const auto& entry) {
    return entry.second.machine.CurrentRole() ==
           ownership::CellMachine::Role::kPrimary;
  });
  if (leads && now < this->stop_deadline) return;
  const auto done = std::exchange(this->stop_handler, nullptr);
  done();
}

void ControlTask::StartListRead() {
  if (this->list_read_pending) return;
  this->list_read_pending = true;
  this->platform->ReadList([this](const store::InstanceList& list) {
    this->list_read_pending = false;
    if (!list.usable) {
      this->metrics.Count("chervilmux_list_failures_total").Add();
      return;
    }
    this->peers.OnInstanceList(list, kernel::Now());
    this->listed_servers.clear();
    for (const auto& server : list.servers) {
      this->listed_servers[server.name] = server.state;
    }
    for (auto& [name, cell] : this->cells)
      this->UpdateDesiredServers(name, cell);
  });
}

void ControlTask::StartManifestRead() {
  if (this->manifest_read_pending) return;
  // Only some instances read the store; the others fetch a new manifest from
  // a peer whose heartbeat states a higher revision.
  if (!this->peers.IsStoreReader(kStoreReadersPerDomain, kernel::Now())) return;
  this->manifest_read_pending = true;
  this->platform->ReadRow(
      store::kManifestRow, [this](const store::TableReply& reply) {
        const bool is_new_revision =
            reply.status == store::TableReply::Status::kValue &&
            reply.revision != this->last_read_row_revision;
        if (!is_new_revision) {
          this->manifest_read_pending = false;
          return;
        }
        const std::uint64_t revision = reply.revision;
        this->platform->ReadObject(
            reply.value, [this, revision](const store::ObjectReply& object) {
              this->manifest_read_pending = false;
              if (!object.found) return;
              this->last_read_row_revision = revision;
              this->ApplyManifest(object.content, "store");
            });
      });
}

// --- Messages between instances ----------------------------------------------

membership::Heartbeat ControlTask::MakeHeartbeat() {
  membership::Heartbeat heartbeat;
  heartbeat.from = this->settings.self;
  heartbeat.failure_domain = this->settings.failure_domain;
  heartbeat.peer_address = this->settings.peer_address;
  heartbeat.operator_address = this->settings.operator_address;
  heartbeat.manifest_revision = this->manifest.Revision();
  heartbeat.stopping = this->stopping;
  heartbeat.known_peers = this->peers.NextKnownPeers(kKnownPeersPerHeartbeat);
  for (const auto& [name, cell] : this->cells) {
    if (cell.machine.CurrentRole() != ownership::CellMachine::Role::kPrimary)
      continue;
    heartbeat.leads.push_back({name, cell.machine.NewestRow().version.term});
  }
  return heartbeat;
}

void ControlTask::SendHeartbeats() {
  const Instant now = kernel::Now();
  const bool heartbeat_due = now >= this->last_heartbeat + kHeartbeatPeriod;
  if (!heartbeat_due && !this->heartbeat_requested) return;
  this->heartbeat_requested = false;
  this->last_heartbeat = now;
  const std::string bytes = membership::Encode(this->MakeHeartbeat());
  auto targets = this->peers.NextHeartbeatTargets(kMaxHeartbeatTargets);
  // A seed that is now in the peer table receives heartbeats as a peer.
  std::erase_if(this->settings.seeds, [this](const net::Address& seed) {
    return this->peers.HasPeerAddress(seed);
  });
  for (const auto& seed : this->settings.seeds) {
    if (std::ranges::find(targets, seed) == targets.end()) {
      targets.push_back(seed);
    }
  }
  for (const auto& target : targets) {
    this->peer_socket.Send(target, bytes);
    this->bytes_sent += bytes.size();
  }
}

void ControlTask::OnDatagram(std::string_view bytes) {
  const Instant now = kernel::Now();
  auto decoded = membership::Decode(bytes);
  if (!decoded) {
    this->metrics.CountError("chervilmux_messages_refused_total",
                             decoded.error().kind);
    return;
  }
  if (const auto* heartbeat =
          std::get_if<membership::Heartbeat>(&decoded.value())) {
    this->peers.OnHeartbeat(*heartbeat, now);
    this->AddSeeds(heartbeat->known_peers);
    return;
  }
  const auto& datagram = std::get<membership::CellDatagram>(decoded.value());
  const auto found = this->cells.find(datagram.cell);
  if (found == this->cells.end()) return;
  ownership::Actions actions;
  found->second.machine.OnPeerMessage(datagram.message, now, actions);
  this->ExecuteActions(found->first, found->second, actions);
}

void ControlTask::AddSeeds(std::span<const net::Address> known_peers) {
  auto& seeds = this->settings.seeds;
  for (const auto& address : known_peers) {
    if (seeds.size() >= kMaxSeeds || address.Empty()) return;
    if (address == this->settings.peer_address) continue;
    if (this->peers.HasPeerAddress(address)) continue;
    if (std::ranges::find(seeds, address) == seeds.end()) {
      seeds.push_back(address);
    }
  }
}

void ControlTask::FetchManifestFromPeer() {
  if (this->manifest_fetch_pending) return;
  const membership::Peer* peer = this->peers.PeerWithNewerManifest(
      this->manifest.Revision(), kernel::Now());
  if (peer == nullptr || peer->operator_address.Empty()) return;
  this->manifest_fetch_pending = true;
  net::HttpRequest request;
  request.method = "POST";
  request.url = "http://" + peer->operator_address.ToString() + "/rpc";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = RpcBody("manifest");
  net::TransferOptions options;
  options.deadline = kernel::Now() + kManifestFetchTimeout;
  options.max_answer_bytes = kMaxManifestBytes;
  options.may_repeat = true;
  this->http.Start(request, options, [this](const net::TransferResult& result) {
    this->manifest_fetch_pending = false;
    if (result.end != net::TransferEnd::kComplete) return;
    auto body = kernel::ParseJson(result.answer.body);
    if (!body || !body.value().isObject()) return;
    const std::string text = kernel::StringOr(body.value(), "result");
    if (!text.empty()) this->ApplyManifest(text, "peer");
  });
}

// --- Manifest ----------------------------------------------------------------

void ControlTask::ApplyManifest(std::string_view text,
                                std::string_view source) {
  const config::OfferResult result = this->manifest.Offer(text);
  const std::string revision = std::to_string(this->manifest.Revision());
  switch (result) {
    case config::OfferResult::kAdopted:
      observe::LogInfo("manifest_adopted", {{"revision", revision},
                                            {"source", std::string(source)}});
      this->heartbeat_requested = true;
      this->UpdateCells();
      break;
    case config::OfferResult::kAlreadyKnown:
      break;
    case config::OfferResult::kRegressed:
      this->metrics.CountError("chervilmux_manifests_refused_total",
                               kernel::ErrorKind::kStoreRegressed);
      observe::LogWarn("manifest_refused",
                       {{"in_force", revision},
                        {"source", std::string(source)},
                        {"why", this->manifest.LastRefusal()}});
      break;
    case config::OfferResult::kInvalid:
      this->metrics.CountError("chervilmux_manifests_refused_total",
                               kernel::ErrorKind::kManifestInvalid);
      observe::LogError("manifest_refused",
                        {{"in_force", revision},
                         {"source", std::string(source)},
                         {"why", this->manifest.LastRefusal()}});
      break;
  }
}

void ControlTask::UpdateCells() {
  const auto current = this->manifest.Current();
  for (const auto& service : current->manifest.services) {
    const bool service_has_cell_here =
        std::ranges::find(service.failure_domains,
                          this->settings.failure_domain) !=
        service.failure_domains.end();
    if (!service_has_cell_here) continue;
    const std::string name =
        routing::MakeCellName(service.name, this->settings.failure_domain);
    if (!this->cells.contains(name)) {
      ownership::CellTiming timing = this->settings.timing;
      timing.isolation_budget = service.isolation_budget;
      timing.max_request_time = service.max_timeout;
      auto& cell = this->cells.try_emplace(name, this->settings.self, timing)
                       .first->second;
      cell.service = service.name;
      if (this->stopping) cell.machine.BeginStop();
    }
  }
  for (auto& [name, cell] : this->cells) this->UpdateDesiredServers(name, cell);
}

void ControlTask::UpdateDesiredServers(const std::string& name, Cell& cell) {
  const auto current = this->manifest.Current();
  const config::Service* service = current->manifest.Find(cell.service);
  std::vector<ownership::DesiredServer> desired_servers;
  // Keys that the manifest assigns to a server directly: key hash -> server.
  std::map<std::uint64_t, std::string> overrides;
  if (service != nullptr) {
    for (const auto& server : service->servers) {
      if (server.failure_domain != this->settings.failure_domain) continue;
      const auto listed = this->listed_servers.find(server.name);
      const bool leaving = listed != this->listed_servers.end() &&
                           listed->second != store::ListedState::kLive;
      desired_servers.push_back({server.name, server.weight, leaving});
    }
    for (const auto& [key, server] : service->pinned_keys) {
      const std::uint64_t hash = ownership::HashKey(key);
      if (routing::CellNameForKey(hash, *service) == name)
        overrides[hash] = server;
    }
  }
  cell.machine.OnDesiredServers(desired_servers);
  cell.machine.OnDesiredOverrides(overrides);
}

const config::BackendServer* ControlTask::FindBackendServer(
    const std::string& service, std::string_view server) const {
  const auto current = this->manifest.Current();
  const config::Service* entry =
      current ? current->manifest.Find(service) : nullptr;
  if (entry == nullptr) return nullptr;
  const auto found =
      std::ranges::find(entry->servers, server, &config::BackendServer::name);
  return found == entry->servers.end() ? nullptr : &*found;
}

// --- Routing view and metrics ------------------------------------------------

routing::LedCellView ControlTask::MakeLedCellView(Cell& cell) const {
  const ownership::CellMachine& machine = cell.machine;
  routing::LedCellView led_cell;
  led_cell.version = machine.NewestRow().version;
  led_cell.serving_version = machine.ServingRow().version;
  if (!cell.serving ||
      cell.serving_placement_version != led_cell.serving_version) {
    cell.serving = std::make_shared<ownership::Placement>(machine.ServingRow());
    cell.serving_placement_version = led_cell.serving_version;
  }
  if (machine.IsChangingOwners() &&
      (!cell.next || cell.next_placement_version != led_cell.version)) {
    cell.next = std::make_shared<ownership::Placement>(machine.NewestRow());
    cell.next_placement_version = led_cell.version;
  }
  led_cell.serving = cell.serving;
  if (machine.IsChangingOwners()) led_cell.next = cell.next;
  for (const auto& entry : machine.NewestRow().servers) {
    const config::BackendServer* backend_server =
        this->FindBackendServer(cell.service, entry.name);
    if (backend_server == nullptr) continue;
    routing::ServerView server;
    server.address = backend_server->address;
    server.slots = backend_server->slots;
    server.send_until = machine.MaySendUntil(entry.name);
    server.token = machine.TokenFor(entry.name);
    server.in = entry.state == ownership::ServerState::kIn;
    server.lost = entry.state == ownership::ServerState::kOut;
    led_cell.servers.emplace(entry.name, std::move(server));
  }
  return led_cell;
}

void ControlTask::PublishRoutingView() {
  if (!this->view_handler) return;
  auto view = std::make_shared<routing::RoutingView>();
  const Instant now = kernel::Now();
  view->manifest = this->manifest.Current();
  for (auto& [name, cell] : this->cells) {
    if (cell.machine.CurrentRole() != ownership::CellMachine::Role::kPrimary)
      continue;
    view->led_cells.emplace(name, this->MakeLedCellView(cell));
  }
  if (view->manifest) {
    for (const auto& service : view->manifest->manifest.services) {
      for (const auto& domain : service.failure_domains) {
        const std::string cell = routing::MakeCellName(service.name, domain);
        if (auto leader = this->peers.FindLeader(cell, now)) {
          view->leader_by_cell.emplace(cell, *std::move(leader));
        }
      }
    }
  }
  this->view_handler(std::move(view));
}

void ControlTask::PublishMetrics() {
  ownership::CellCounters sum;
  std::uint64_t cells_led = 0;
  for (const auto& [name, cell] : this->cells) {
    ownership::AddCounters(sum, cell.machine.Counters());
    if (cell.machine.CurrentRole() == ownership::CellMachine::Role::kPrimary)
      cells_led += 1;
  }
  this->metrics.Count("chervilmux_manifest_revision")
      .SetTo(this->manifest.Revision());
  this->metrics.Count("chervilmux_cells_led").SetTo(cells_led);
  this->metrics.Count("chervilmux_control_bytes_sent_total")
      .SetTo(this->bytes_sent);
  for (const auto& field : ownership::CellCounterFields()) {
    std::string name = "chervilmux_cell_";
    name += field.name;
    name += "_total";
    this->metrics.Count(name).SetTo(sum.*field.member);
  }
}

}  // namespace chervilmux::control
