/// \file
/// Defines the router task: it forwards each request to the only backend server
/// that owns the request's key and returns the complete answer, or an error
/// that states whether the request may have been executed.
///
/// The instance that receives a request determines the cell of its key. If this
/// instance is the primary of the cell, the request passes admission control
/// here; otherwise it is relayed to the primary. The primary checks that the
/// owner's grant and its own authority to lead are still valid and then sends
/// the request to the owner at once.
/// Only the instance that received the request from the caller retries it.

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
#include "routing/view.h"

namespace chervilmux::routing {

/// A request as the caller front submits it.
struct CallerRequest {
  std::string request_id;
  net::HttpRequest request;
  kernel::Instant arrived_at;
  /// From the caller's timeout header; kNever if the header is absent.
  kernel::Instant deadline = kernel::kNever;
  ReplyHandler reply;
};

/// Receives the number of unfinished requests at `server` for keys that
/// `server` loses under version `version` of the row of `cell`. A change of
/// owners waits for these requests to finish.
using MovingRequestsHandler =
    std::function<void(std::string cell, ownership::RowVersion version,
                       std::string server, std::size_t count)>;

struct RouterLimits {
  std::size_t max_answer_bytes = 1U << 20U;
  /// A caller's request above this number of unfinished jobs is refused.
  std::size_t max_jobs = 50'000;
  /// Queued requests per cell and backend server.
  std::size_t max_waiting_per_server = 256;
  long max_connections_per_server = 40;
};

class RouterTask : public kernel::ReactorTask {
 public:
  static constexpr std::string_view kServiceName = "router";

  RouterTask(const kernel::Registry& registry, const RouterLimits& limits);
  ~RouterTask() override;

  /// Opens the listening socket for relayed requests. Call before Start().
  kernel::Result<void> Listen(const net::Address& address);

  void SetMovingRequestsHandler(MovingRequestsHandler handler) {
    this->moving = std::move(handler);
  }

  // --- Messages; safe from any thread.
  void Submit(CallerRequest request);
  /// Cancels the request of a caller that closed its connection, unless the
  /// request is not idempotent and a server may already be executing it.
  void OnCallerDisconnected(std::string request_id);
  void SetRoutingView(std::shared_ptr<const RoutingView> view);
  /// Calls `done` on this task's thread with the service names in requests that
  /// matched no service, and how often each was used.
  void RequestUnknownSpellings(
      std::function<void(std::vector<config::SpellingCount>)> done);
  /// Calls `done` on this task's thread as soon as there are no jobs.
  void NotifyWhenIdle(std::function<void()> done);

 private:
  struct QueueKey {
    std::string cell;
    std::string server;
    auto operator<=>(const QueueKey&) const = default;
  };

  // Handling of a job at any instance.
  void Accept(CallerRequest request);
  void ResolveService(Job& job);
  void RouteJob(Job& job);
  void FailAttempt(Job& job, kernel::Error error);
  void FinishJob(Job& job, Reply reply);
  void Tick();

  // Admission and sending at the primary of a cell.
  void AdmitJob(Job& job);
  void Defer(Job& job, kernel::ErrorKind why);
  void AdmitDeferredJobs();
  policy::ServerQueue& QueueForServer(const std::string& cell,
                                      const std::string& server);
  void SendQueuedJobs(const QueueKey& key);
  void SendToServer(Job& job);
  void OnServerAnswer(std::uint64_t id, net::TransferResult result);
  void RerouteQueuedJobs(const QueueKey& key);
  void RerouteStaleQueues();
  void FailJobsAtLostServers();
  /// Reports how many unfinished requests each server has for keys whose owner
  /// is changing.
  void ReportRequestsForMovingKeys();
  void RecordAbandoned(const Job& job);
  void CancelAtServer(const Job& job);

  // Relaying between instances.
  void RelayToPrimary(Job& job, const membership::CellLeader& leader);
  void OnFrame(net::LinkId link, std::string_view bytes);
  void OnRelayRequest(net::LinkId link, RelayRequest frame);
  void OnRelayReply(net::LinkId link, RelayReply frame);
  void OnRelayCancel(net::LinkId link, std::uint64_t id);
  void OnLinkClosed(net::LinkId link, bool nothing_sent);
  void RerouteStaleRelays();
  void CancelRelay(Job& job);

  const LedCellView* FindLedCell(const std::string& cell) const;
  Job* FindJob(std::uint64_t id);

  RouterLimits limits;
  observe::Metrics& metrics;
  /// Receives the reports of ReportRequestsForMovingKeys(); may be empty.
  MovingRequestsHandler moving;
  std::shared_ptr<const RoutingView> view;
  net::HttpClient servers;
  net::FrameEndpoint relay_endpoint;
  policy::RetryBudget retry_budget;
  config::SpellingLog unknown_spellings;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs;
  std::unordered_map<std::string, std::uint64_t> job_by_request_id;
  std::map<QueueKey, policy::ServerQueue> queues;
  /// A request without an answer that was sent to a server and is no longer
  /// waited for. The server may still execute it, so it counts as unfinished
  /// until its deadline.
  struct AbandonedRequest {
    QueueKey queue_key;
    std::uint64_t key_hash = 0;
    kernel::Instant deadline;
  };
  std::vector<AbandonedRequest> abandoned_requests;
  std::map<net::Address, net::LinkId> link_by_address;
  /// Ids of jobs in state kRelayed, by the id of the RelayRequest.
  std::unordered_map<std::uint64_t, std::uint64_t> job_by_relay_id;
  /// Ids of jobs that other instances relayed to this one, by link and by the
  /// id that the sender assigned.
  std::map<std::pair<net::LinkId, std::uint64_t>, std::uint64_t>
      incoming_relays;
  std::vector<std::function<void()>> idle_handlers;
};

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_ROUTER_TASK_H_
