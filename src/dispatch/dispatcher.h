/// \file
/// Defines the dispatcher. It receives a caller's request, finds its route,
/// service and backend server, sends the request to the server, retries it
/// where that is allowed, and sends the caller exactly one final answer.
///
/// Load balancing, admission and retry budgets are decided in policy/. The
/// dispatcher guarantees correctness: a request that is not idempotent is
/// retried only if the last server is known not to have run it, and the caller
/// gets the outcome "not run" only if no attempt can have run.

#ifndef CHERVILMUX_DISPATCH_DISPATCHER_H_
#define CHERVILMUX_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/wire.h"
#include "kernel/registry.h"
#include "kernel/time.h"
#include "model/backend_server.h"
#include "model/configuration.h"
#include "net/http_front.h"
#include "net/server_links.h"
#include "observe/metrics.h"
#include "policy/admission.h"
#include "policy/loop_lag.h"
#include "policy/retry_policy.h"
#include "policy/server_loads.h"
#include "ranges/range_table.h"
#include "routing/route_table.h"

namespace chervilmux::dispatch {

/// Backend servers by service name.
using ServerDirectory =
    std::map<std::string, std::vector<model::BackendServer>, std::less<>>;

struct DispatcherSettings {
  std::string failure_domain;
  /// Limits on requests that are sent to a second server, over all instances
  /// together: `retry_ratio` is a share of all requests, and `retry_slack` is a
  /// number of retries beyond that share.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  /// A cold server gets at most its rate times the factor, plus the slack, in
  /// any second, over all instances together. A factor of 0: not limited.
  double cold_rate_factor = 0;
  double cold_rate_slack = 0;
};

class Dispatcher {
 public:
  static constexpr std::string_view kServiceName = "dispatcher";

  /// Finds "metrics", "wire" and "server_links" in the registry.
  Dispatcher(const kernel::Registry& registry, DispatcherSettings settings);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Sets the HTTP server that sends answers to callers. Call this before the
  /// first request.
  void SetFront(net::HttpFront& new_front) { this->front = &new_front; }

  void SetConfiguration(std::shared_ptr<const model::Configuration> config);
  /// Replaces the backend servers. The previous directory is known to have been
  /// valid until `unchanged_until`; kNever when that is unknown.
  void SetServers(ServerDirectory new_directory,
                  kernel::Instant unchanged_until);
  void SetOwners(const ranges::RangeTable& table);

  /// Sets the failure domains whose servers get no further requests.
  void SetEvacuation(const policy::Evacuation& new_evacuation);

  void SetRetryLimits(double ratio, double slack);
  void SetColdLimits(double rate_factor, double rate_slack);

  /// Sets the number of instances that share the servers and the limits on
  /// retries.
  void SetInstanceCount(std::size_t count);

  /// Sets the instances by failure domain, among them this one, `self`. They
  /// share the requests that cold servers may get.
  void SetInstanceNames(std::string self, policy::InstanceNames by_domain);

  /// Sets the place of this instance among those of its failure domain.
  void SetSubsetPosition(const policy::SubsetPosition& position);

  /// Sets whether the configuration is known to be the newest. Otherwise a path
  /// without a route may belong to a newer configuration, and its request is
  /// refused as kNoManifest instead of kUnknownService.
  void SetConfigurationIsCurrent(bool current) {
    this->config_is_current = current;
  }

  /// Sets a function to call for each request to a keyed service.
  void OnKeyUsed(std::function<void(std::string_view, ranges::Key)> observer) {
    this->on_key_used = std::move(observer);
  }
  /// Sets a function to call when a server rejects a key because it does not
  /// own the key. The argument is the name of the service.
  void OnStaleOwners(std::function<void(std::string_view)> observer) {
    this->on_stale_owners = std::move(observer);
  }

  /// Sets a function to call when a server of the named service tells something
  /// new about itself.
  void OnServerNotice(
      std::function<void(std::string_view, const policy::ServerNotice&)>
          observer) {
    this->on_server_notice = std::move(observer);
  }

  /// Prepares for the end of this instance at `end`. Requests that may not
  /// finish by then are refused as not run, whether they arrive or wait, and
  /// servers are given no longer.
  void BeginStop(kernel::Instant end) { this->stop_end = end; }

  void OnRequest(const net::RequestRef& ref, net::HttpRequest request);
  void OnCallerDisconnected(const net::RequestRef& ref);

  /// Sends waiting requests for which a server is free, and refuses those whose
  /// time in the queue has ended. Call it every few milliseconds.
  void DispatchWaitingRequests(kernel::Instant now);

  /// Whether a server of `service` is or may be cold, and is limited.
  bool IsCold(const std::string& service, std::string_view id);

  /// Cold servers of all services.
  std::size_t ColdCount() const;

  /// Speed of a server of `service` relative to the mean of the service.
  double RelativeSpeed(const std::string& service, std::string_view id);

  /// The time that the last request in the queue of a full server of `service`
  /// waits.
  kernel::Duration LongestQueueTime(const std::string& service);

  /// This instance's estimates for the servers of `service`.
  std::vector<policy::ServerView> ServerViews(const std::string& service);

  /// Requests for `service` that wait for a server.
  std::size_t WaitingCount(const std::string& service) const;

  std::size_t OpenRequests() const { return this->jobs.size(); }

 private:
  struct Job;
  struct ServiceState;
  struct DispatchDecision;

  policy::RetryBudget MakeRetryBudget() const;
  policy::ColdLimit ColdLimitOf(const std::string& service) const;
  Job* Accept(const net::RequestRef& ref, net::HttpRequest request);
  ServiceState& GetOrCreateServiceState(const std::string& service);
  void Dispatch(Job& job, kernel::Instant now);
  DispatchDecision FindServer(Job& job, ServiceState& state,
                              kernel::Instant now);
  DispatchDecision FindOwner(Job& job, ServiceState& state,
                             kernel::Instant now);
  /// Whose requests `job` waits with; "" in a service without keys.
  static std::string OwnerOf(const Job& job, const ServiceState& state);
  /// When `job` can be sent at the earliest; kNever: at once.
  static kernel::Instant NotBefore(const Job& job, const ServiceState& state);
  void Enqueue(Job& job, ServiceState& state, kernel::Instant now);
  bool DispatchWaiting(Job& job, ServiceState& state, kernel::Instant now);
  /// Refuses waiting requests that may not finish before the stop.
  void RefuseAfterStop(ServiceState& state, kernel::Instant now);
  void Send(Job& job, ServiceState& state, const std::string& server_id,
            kernel::Instant now);
  void OnTransfer(std::uint64_t job_id, net::TransferResult result);
  void OnAnswer(Job& job, net::HttpAnswer answer, kernel::Instant now);
  void OnStatements(const Job& job, const AnswerInfo& info,
                    kernel::Instant now);
  void OnNotRun(Job& job, const AnswerInfo& info, kernel::Instant now);
  void RecordAnswered(const Job& job, unsigned status, kernel::Instant now);
  void OnFailedTransfer(Job& job, const net::TransferResult& result,
                        kernel::Instant now);
  /// Counts a request without an answer, by whether its server answers others.
  void CountTimeout(const Job& job);
  void RecordCompletion(Job& job, policy::AttemptOutcome end,
                        const std::optional<policy::ReportedLoad>& load,
                        kernel::Instant now);
  /// Whether `job` is expected to finish before a stop ends this instance.
  bool FinishesBeforeStop(const Job& job, const ServiceState& state,
                          kernel::Instant now) const;
  /// Until when a server may work on `job`.
  kernel::Instant ServerDeadline(const Job& job) const;
  bool RetryIfAllowed(Job& job, kernel::ErrorKind failure, kernel::Instant now);
  void DispatchQueue(ServiceState& state, kernel::Instant now);
  void Refuse(Job& job, const DispatchDecision& decision);
  void Refuse(Job& job, kernel::ErrorKind kind, std::string_view why,
              kernel::Duration expected_wait);
  /// When the caller of a request for which there is no room can return.
  kernel::Duration ReturnTime(const Job& job, kernel::Duration until_room);
  /// Refuses a request whose server wants no requests for `rest`.
  void RefuseUntil(Job& job, kernel::ErrorKind kind, std::string_view why,
                   kernel::Duration rest);
  void RefuseWithRetryAfter(Job& job, kernel::ErrorKind kind,
                            std::string_view why, kernel::Duration retry_after);
  void Finish(Job& job, net::HttpAnswer answer);
  void RemoveJob(Job& job);
  /// Counts a request that is refused instead of waiting (on).
  void CountQueueRefusal(const Job& job, std::string_view reason);
  void CountWithheld(const Job& job, policy::NoticeKind reason);
  /// The answer by which the servers that could serve `job` get no requests.
  std::optional<policy::NoticeSource> StoppedBy(const Job& job,
                                                const std::string& owner) const;
  void LogRefusal(const Job& job, const kernel::Error& error) const;
  void DropUnidentifiedAnswer(const Job& job,
                              net::TransferResult& result) const;
  void LogEjection(const Job& job, policy::AttemptOutcome cause) const;
  double RandomUnit();

  observe::Metrics& metrics;
  WireProtocol& wire;
  net::ServerLinks& links;
  net::HttpFront* front = nullptr;
  DispatcherSettings settings;
  std::size_t instance_count;
  policy::SubsetPosition subset_position;
  policy::Evacuation evacuation;
  std::string self;
  policy::InstanceNames instance_names;
  bool config_is_current = false;
  policy::LoopLag loop_lag;
  std::optional<kernel::Instant> stop_end;  ///< Set once the stop has begun.
  std::unique_ptr<routing::RouteTable> routes;
  std::shared_ptr<const model::Configuration> config;
  ServerDirectory directory;
  std::map<std::string, const model::BackendServer*, std::less<>> servers_by_id;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> services;
  std::map<std::uint64_t, std::unique_ptr<Job>> jobs;
  std::map<net::RequestRef, std::uint64_t> job_ids_by_ref;
  std::uint64_t last_job_id = 0;
  std::mt19937_64 random;
  std::function<void(std::string_view, ranges::Key)> on_key_used;
  std::function<void(std::string_view)> on_stale_owners;
  std::function<void(std::string_view, const policy::ServerNotice&)>
      on_server_notice;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_DISPATCHER_H_
