/// \file
/// Defines one instance on a platform with a metadata store: its addresses, its
/// copies of the store's tables, its peers, and the order of start and stop.

#ifndef CHERVILMUX_NODE_NODE_H_
#define CHERVILMUX_NODE_NODE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatcher.h"
#include "kernel/registry.h"
#include "kernel/task.h"
#include "net/http_client.h"
#include "net/http_front.h"
#include "net/server_links.h"
#include "node/formats.h"
#include "node/key_service.h"
#include "node/node_settings.h"
#include "node/node_status.h"
#include "node/peer_message.h"
#include "node/server_list.h"
#include "node/store_readers.h"
#include "node/succession.h"
#include "node/table_follower.h"
#include "observe/metrics.h"
#include "policy/evacuation.h"
#include "policy/memory_budget.h"

namespace chervilmux::node {

/// Table in which instances register themselves.
inline constexpr std::string_view kInstancesTable = "chervilmux-instances";

class Node {
 public:
  /// Finds "metrics", "formats", "wire" and "store" in the registry and adds
  /// "server_links". `task` runs everything; `client` carries peer calls.
  Node(kernel::Registry& registry, kernel::ReactorTask& task,
       net::HttpClient& client, NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens all addresses. Call before the task starts. Errors:
  /// kSettingInvalid.
  kernel::Result<void> Open();

  /// Begins a graceful stop; `done` is called when nothing is left to finish
  /// or the grace is nearly over. Requests that may not finish within the grace
  /// are refused, and those that are out when it ends get a last answer. Call
  /// on the task's thread.
  void Stop(std::function<void()> done);

  /// Takes in settings that changed. Call on the task's thread.
  void Apply(const NodeSettings& changed);

 private:
  void Tick();
  void ShareMemory(kernel::Instant now);
  kernel::Duration SpreadMemoryWait();
  void OnConfiguration();
  /// Puts `decoded`, read from `text`, in force if it is newer.
  void TakeConfiguration(model::Configuration decoded, std::string_view text);
  /// Follows the operators' orders to evacuate failure domains.
  void OnEvacuationRows();
  void NoteEvacuation(const policy::EvacuationChange& change);
  /// Logs evacuations that concern no server here, each once.
  void CheckEvacuatedDomains();
  void OnServerRows();
  void UseServers();
  void LogExcusedServers(kernel::Instant now);
  /// Tells keyed services which servers may own keys.
  void TellKeyServicesOfServers(kernel::Instant now);
  void OnInstances();
  void TellDispatcherOfInstances();
  void OnRanges();
  void NoteLeaders();
  void UseSeeds();
  void UpdateKeyServices();
  void Register();
  bool RegistrationIsLost();
  void OnProofFailed();
  /// The copies that must be fresh, each proved by short calls of its own.
  std::array<TableFollower*, 2> ProvedTables();
  void OnLaterEra(std::uint64_t era);
  void Sync(kernel::Instant now);
  std::set<std::string> SyncTargets(kernel::Instant now);
  void SendSync(const std::string& address);
  /// Tells leaders what cannot wait for the next sync.
  void SendDueNotices();
  /// The peer address of the instance that leads `service`; empty when unknown.
  std::string LeaderAddress(const KeyService& service) const;
  /// The notices to tell at `address`, by service.
  NoticesByService NoticesFor(const std::string& address);
  void OnNoticesTold(const NoticesByService& told);
  void OnSyncReply(const SyncReply& reply, kernel::Instant sent_at);
  void OnHeardFrom(const InstanceRecord& peer);
  void OnPeerRequest(const net::RequestRef& ref,
                     const net::HttpRequest& request);
  SyncReply ReplyTo(const SyncRequest& request);
  /// Adds what the store has lost and this instance knows.
  void AddWhatTheStoreLost(const SyncRequest& request, SyncReply& reply) const;
  void TakeWhatTheStoreLost(const SyncReply& reply);
  /// Takes in how fresh the peer's copies are, after its changes.
  void TakeProofs(const SyncReply& reply, kernel::Instant sent_at);
  void Publish(const ranges::RangeDelta& change);
  void PassOn(const std::string& leader, const std::string& body,
              const std::string& sender);
  void OnChangedOwners(const std::string& body);
  void PostToPeer(const std::string& address, std::string_view path,
                  std::string body,
                  std::function<void(const net::TransferResult&)> done);
  void OnCallerConnectionClosed(const net::ConnectionClose& close);
  void OnReadiness(const net::RequestRef& ref, const net::HttpRequest& request);
  bool Ready() const;
  bool FollowsStore(kernel::Instant now) const;
  void ContinueStop(kernel::Instant now);
  void GiveLastAnswers();
  void HandOverLeadership(kernel::Instant now);
  void AskForSuccessor(const std::string& service, Succession& succession,
                       kernel::Instant now);
  void SendSuccession(
      const SuccessionRequest& request, const std::string& instance,
      std::function<void(const std::optional<SuccessionReply>&)> done);
  SuccessionReply OnSuccession(const SuccessionRequest& request);
  bool HasResigned(kernel::Instant now);
  void OnOperatorRequest(const net::RequestRef& ref,
                         const net::HttpRequest& request);
  std::string MetricsText();
  NodeStatus Status();
  std::vector<TableFollower*> Followers();
  using PlainHandler = void (Node::*)(const net::RequestRef&,
                                      const net::HttpRequest&);
  /// A front of this task whose requests `handler` answers.
  std::unique_ptr<net::HttpFront> PlainFront(PlainHandler handler);

  kernel::Registry& registry;
  kernel::ReactorTask& task;
  net::HttpClient& client;
  NodeSettings settings;
  const Formats& formats;
  store::MetadataStore& store;
  observe::Metrics& metrics;
  std::mt19937_64 random;

  net::ServerLinks links;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::unique_ptr<net::HttpFront> callers;
  std::unique_ptr<net::HttpFront> readiness;
  std::unique_ptr<net::HttpFront> peers;
  std::unique_ptr<net::HttpFront> operators;

  InstanceRecord self;
  StoreReaders readers;
  TableFollower configuration_table;
  TableFollower server_table;
  TableFollower instances_table;
  TableFollower ranges_table;

  std::shared_ptr<const model::Configuration> configuration;
  /// The row's text of `configuration`, which the store may lose.
  std::string configuration_text;
  replica::TableVersion bad_configuration_row;
  policy::Evacuation evacuation;
  /// Evacuated domains of which nothing is known; each is logged once.
  policy::FailureDomains unknown_domains;
  /// Evacuated domains that the settings do not allow; logged once.
  policy::FailureDomains ignored_domains;
  /// Services all of whose servers are evacuated; each is logged once.
  std::set<std::string, std::less<>> evacuated_services;
  ServerList servers;
  /// Ids of the listed rows that name no server; each is logged once.
  std::set<std::string, std::less<>> unusable_rows;
  std::uint64_t servers_era = 0;  ///< Of the rows behind `servers`.
  std::map<std::string, std::unique_ptr<KeyService>, std::less<>> key_services;
  std::set<std::string, std::less<>> syncing;  ///< Addresses being asked.
  /// Services of which a change of owners did not apply to the view here.
  std::set<std::string, std::less<>> lacks_changes;
  /// Instances that did not take a change of owners, and until when they get
  /// none.
  std::map<std::string, kernel::Instant, std::less<>> unreachable_until;
  /// The newest change of owners passed on, by service.
  std::map<std::string, ViewVersion, std::less<>> passed_on;
  kernel::Instant next_sync = kernel::kNever;
  kernel::Instant next_memory_share;
  policy::MemoryBudget memory_budget;
  kernel::Instant started_at = kernel::Now();
  bool was_answered = false;  ///< By any peer.
  kernel::Instant next_register = kernel::kNever;
  bool registering = false;
  bool registered = false;
  /// When this instance registered itself; a copy of the table that is as new
  /// has its row, or the store has lost it.
  replica::TableVersion registered_at;
  /// The copy that was last searched for that row.
  std::optional<replica::TableVersion> registration_checked;
  /// The course of a planned stop, fixed when it begins: a grace that changes
  /// later doesn't count.
  struct StopPlan {
    StopPlan(kernel::Instant begin, kernel::Duration grace);

    kernel::Instant accepts_until;
    kernel::Instant last_answers_at;
    kernel::Instant ends_at;
    bool gave_last_answers = false;
    /// How long an idle process waits for its leases to be free; set once idle.
    std::optional<kernel::Instant> resigns_until;
    /// Of the services that this instance leads.
    std::map<std::string, Succession> successions;
  };
  std::optional<StopPlan> stop;
  /// Services whose lease the last leader has left to this instance, which
  /// claims it even if it stops meanwhile.
  std::set<std::string, std::less<>> inherited_leases;
  std::function<void()> on_stopped;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_NODE_H_
