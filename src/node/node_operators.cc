// Node: what it tells operators.

#include <string>
#include <string_view>
#include <utility>

#include "node/node.h"

namespace chervilmux::node {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";

}  // namespace

void Node::OnOperatorRequest(const net::RequestRef& ref,
                             const net::HttpRequest& request) {
  net::HttpAnswer answer = net::PlainAnswer(404);
  if (request.url == kMetricsPath) {
    answer = net::PlainAnswer(200, this->MetricsText());
  } else if (request.url == kStatusPath) {
    answer = net::PlainAnswer(200, EncodeStatus(this->Status()));
  }
  this->operators->Answer(ref, std::move(answer));
}

NodeStatus Node::Status() {
  const kernel::Instant now = kernel::Now();
  NodeStatus status;
  status.self = this->self;
  status.ready = this->Ready();
  status.stopping = this->stop.has_value();
  status.follows_store = this->FollowsStore(now);
  status.knowledge_age = this->readers.KnowledgeAge(now);
  status.open_requests = this->dispatcher->OpenRequests();
  for (const auto& domain : this->evacuation.Domains())
    status.evacuated_domains.push_back(domain);
  for (const auto& [name, instance] : this->readers.Instances()) {
    status.instances.push_back(instance);
  }
  if (!this->configuration) return status;
  status.configuration_version = this->configuration->version;
  for (const auto& [name, service] : this->configuration->services) {
    ServiceStatus& entry = status.services.emplace_back();
    entry.name = name;
    entry.servers = this->dispatcher->ServerViews(name);
    entry.waiting_requests = this->dispatcher->WaitingCount(name);
    const auto keyed = this->key_services.find(name);
    if (keyed != this->key_services.end()) {
      entry.owners = Summarize(keyed->second->Owners());
    }
  }
  return status;
}

std::string Node::MetricsText() {
  this->metrics.Count("chervilmux_open_requests")
      .SetTo(this->dispatcher->OpenRequests());
  this->metrics.Count("chervilmux_cold_servers")
      .SetTo(this->dispatcher->ColdCount());
  this->metrics.Count("chervilmux_caller_connections")
      .SetTo(this->callers->Connections());
  this->metrics.Count("chervilmux_server_connections_opened_total")
      .SetTo(this->links.Opened());
  if (this->configuration) {
    for (const auto& [name, service] : this->configuration->services) {
      this->metrics
          .Count("chervilmux_waiting_requests", observe::Label("service", name))
          .SetTo(this->dispatcher->WaitingCount(name));
    }
  }
  for (const auto& [name, service] : this->key_services) {
    const std::string label = observe::Label("service", name);
    this->metrics.Count("chervilmux_leads_owners", label)
        .SetTo(service->Leads() ? 1 : 0);
    this->metrics.Count("chervilmux_ranges_lapsing", label)
        .SetTo(service->Grantor().ExpiringRangeCount());
    this->metrics.Count("chervilmux_owners_term", label)
        .SetTo(service->Owners().term);
  }
  const kernel::Instant now = kernel::Now();
  for (const TableFollower* follower : this->ProvedTables()) {
    if (follower->KnownAsOf() == kernel::kNever) continue;
    this->metrics
        .Count("chervilmux_store_table_age_ms",
               observe::Label("table", follower->Table()))
        .SetTo(static_cast<std::uint64_t>(
            kernel::ToMs(now - follower->KnownAsOf())));
  }
  if (const auto age = this->readers.KnowledgeAge(now)) {
    this->metrics.Count("chervilmux_store_knowledge_age_ms")
        .SetTo(static_cast<std::uint64_t>(kernel::ToMs(*age)));
  }
  return this->metrics.Print();
}

}  // namespace chervilmux::node
