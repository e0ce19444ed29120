/// \file
/// Defines the router task: it brings every request to the one server that owns
/// its key and brings back the whole answer or a truthful refusal.
///
/// At the instance that receives a request the job is looked up and either
/// admitted here, if this instance is the primary of the key's cell, or relayed
/// to the primary. At the primary the job passes admission and is sent to the
/// owner, with the right to do so checked immediately before. Retries are the
/// receiving instance's business alone.

#ifndef CHERVILMUX_ROUTING_ROUTER_TASK_H_
#define CHERVILMUX_ROUTING_ROUTER_TASK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/spelling_log.h"
#include "kernel/registry.h"
#include "kernel/task.h"
#include "net/frame_link.h"
#include "net/http_client.h"
#include "observe/metrics.h"
#include "policy/retry_policy.h"
#include "policy/server_queue.h"
#include "routing/job.h"
#include "routing/routing_view.h"

namespace chervilmux::routing {

/// A request as the caller's side hands it over.
struct CallerRequest {
  std::string request_id;
  net::HttpRequest request;
  kernel::Instant arrived_at;
  /// From the caller's header; kNever when it gave none.
  kernel::Instant deadline = kernel::kNever;
  ReplyHandler reply;
};

/// Reports to the control task how many requests for moving keys are still
/// unfinished at a server.
using MovingRequestsHandler =
    std::function<void(std::string cell, ownership::RowVersion version,
                       std::string server, std::size_t count)>;

struct RouterLimits {
  std::size_t max_answer_bytes = 1U << 20U;
  std::size_t max_jobs = 50'000;
  std::size_t max_waiting_per_server = 256;
  long max_connections_per_server = 40;
};

class RouterTask : public kernel::ReactorTask {
 public:
  static constexpr std::string_view kServiceName = "router";

  RouterTask(const kernel::Registry& registry, const RouterLimits& limits);
  ~RouterTask() override;

  /// Opens the relay's listening socket. Call before Start().
  kernel::Result<void> Listen(const net::Address& address);

  void SetMovingRequestsHandler(MovingRequestsHandler handler) {
    this->moving = std::move(handler);
  }

  // --- Messages; safe from any thread.
  void Submit(CallerRequest request);
  /// The caller has left. Its request is given up unless a server may be at
  /// work on it that must not be cut off.
  void OnCallerDisconnected(std::string request_id);
  void SetRoutingView(std::shared_ptr<const RoutingView> view);
  /// Calls `done` on this task's thread with the spellings that led nowhere.
  void RequestUnknownSpellings(
      std::function<void(std::vector<config::SpellingCount>)> done);
  /// Calls `done` on this task's thread once no job is left.
  void NotifyWhenIdle(std::function<void()> done);

 private:
  struct QueueKey {
    std::string cell;
    std::string server;
    auto operator<=>(const QueueKey&) const = default;
  };

  // Life of a job.
  void Accept(CallerRequest request);
  void LookUp(Job& job);
  void Route(Job& job);
  void FailAttempt(Job& job, kernel::Error error);
  void Finish(Job& job, Reply reply);
  void Tick();

  // At the primary.
  void Admit(Job& job);
  void Hold(Job& job, kernel::ErrorKind why);
  void AdmitHeld();
  policy::ServerQueue& QueueOf(const std::string& cell,
                               const std::string& server);
  void Pump(const QueueKey& key);
  void SendToServer(Job& job);
  void OnServerAnswer(std::uint64_t id, net::TransferResult result);
  void Requeue(const QueueKey& key);
  void DropOutServers();
  void DropLostRequests();
  void ReportMoving();
  void Abandon(const Job& job);
  void CancelAtServer(const Job& job);

  // Between instances.
  void Relay(Job& job, const membership::CellLeader& leader);
  void OnFrame(net::LinkId link, std::string_view bytes);
  void OnRelayRequest(net::LinkId link, RelayRequest frame);
  void OnRelayReply(net::LinkId link, RelayReply frame);
  void OnRelayCancel(net::LinkId link, std::uint64_t id);
  void OnLinkClosed(net::LinkId link, bool nothing_sent);
  void RerouteStaleRelays();
  void CancelRelay(Job& job);

  const LedCellView* Led(const std::string& cell) const;
  Job* Find(std::uint64_t id);

  RouterLimits limits;
  observe::Metrics& metrics;
  MovingRequestsHandler moving;
  std::shared_ptr<const RoutingView> view;
  net::HttpClient servers;
  net::FrameEndpoint relay;
  policy::RetryBudget retry_budget;
  config::SpellingLog spellings;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs;
  std::unordered_map<std::string, std::uint64_t> job_of_request;
  std::map<QueueKey, policy::ServerQueue> queues;
  /// A request that was given up after it had been sent. The server may still
  /// run it, so it counts as unfinished until its deadline.
  struct AbandonedRequest {
    QueueKey place;
    std::uint64_t key_hash = 0;
    kernel::Instant deadline;
  };
  std::vector<AbandonedRequest> abandoned;
  std::map<net::Address, net::LinkId> links;
  std::unordered_map<std::uint64_t, std::uint64_t> job_of_relay;
  std::map<std::pair<net::LinkId, std::uint64_t>, std::uint64_t> relayed_in;
  std::vector<std::function<void()>> when_idle;
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_ROUTER_TASK_H_
