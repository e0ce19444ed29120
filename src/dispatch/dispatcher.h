/// \file
/// Defines the dispatcher: takes a caller's request, finds its route, service
/// and backend server, sends it there, repeats it where that is allowed, and
/// gives the one final answer.
///
/// All decisions on load are policy's. The dispatcher keeps the promises: a
/// request that must not be repeated is sent again only when the last server
/// surely did not run it, and "not run" is said only when that is true.

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
#include "policy/retry_policy.h"
#include "policy/server_loads.h"
#include "ranges/range_table.h"
#include "routing/route_table.h"

namespace chervilmux::dispatch {

/// Backend servers by service.
using ServerDirectory =
    std::map<std::string, std::vector<model::BackendServer>, std::less<>>;

struct DispatcherSettings {
  std::string failure_domain;
  /// Bounds on requests sent to a second server, over all instances: a share
  /// of the requests, and so many more.
  double retry_ratio = 0.2;
  double retry_slack = 50;
};

class Dispatcher {
 public:
  static constexpr std::string_view kServiceName = "dispatcher";

  /// Finds "metrics", "wire" and "server_links" in the registry.
  Dispatcher(const kernel::Registry& registry, DispatcherSettings settings);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Where answers go. Call before the first request.
  void SetFront(net::HttpFront& new_front) { this->front = &new_front; }

  void SetConfiguration(std::shared_ptr<const model::Configuration> config);
  /// The directory before this one is known to have been right until
  /// `unchanged_until`; kNever when that is unknown.
  void SetServers(ServerDirectory new_directory,
                  kernel::Instant unchanged_until);
  void SetOwners(const ranges::RangeTable& table);

  void SetRetryLimits(double ratio, double slack);

  /// Instances that share the budget for repeats.
  void SetInstanceCount(std::size_t count);

  /// Whether the configuration is known to be the newest. Without that an
  /// unknown path may be a new route and is not called unknown.
  void SetConfigurationIsCurrent(bool current) {
    this->config_is_current = current;
  }

  /// Called for each request to a keyed service.
  void OnKeyUsed(std::function<void(std::string_view, ranges::Key)> observer) {
    this->on_key_used = std::move(observer);
  }
  /// Called when a server said that it does not own a key sent to it.
  void OnStaleOwners(std::function<void(std::string_view)> observer) {
    this->on_stale_owners = std::move(observer);
  }

  void OnRequest(const net::RequestRef& ref, net::HttpRequest request);
  void OnCallerDisconnected(const net::RequestRef& ref);

  /// Ends what is over its time and places what waits. Call every few
  /// milliseconds.
  void DispatchWaitingRequests(kernel::Instant now);

  /// How fast a server of `service` works relative to the others.
  double RelativeSpeed(const std::string& service, std::string_view id);

  /// The servers of `service` as this instance sees them.
  std::vector<policy::ServerView> ServerViews(const std::string& service);

  std::size_t OpenRequests() const { return this->jobs.size(); }

 private:
  struct Job;
  struct ServiceState;
  struct Placement;

  policy::RetryBudget FreshBudget() const;
  Job* Accept(const net::RequestRef& ref, net::HttpRequest request);
  ServiceState& StateOf(const std::string& service);
  void Place(Job& job, kernel::Instant now);
  Placement FindServer(Job& job, ServiceState& state, kernel::Instant now);
  Placement FindOwner(Job& job, ServiceState& state, kernel::Instant now);
  void Wait(Job& job, ServiceState& state, kernel::Instant now);
  void Send(Job& job, ServiceState& state, const std::string& server_id,
            kernel::Instant now);
  void OnTransfer(std::uint64_t job_id, net::TransferResult result);
  void OnAnswer(Job& job, net::HttpAnswer answer, kernel::Instant now);
  void OnNotRun(Job& job, const AnswerInfo& info, kernel::Instant now);
  void NoteAnswered(const Job& job, unsigned status, kernel::Instant now);
  void OnFailedTransfer(Job& job, const net::TransferResult& result,
                        kernel::Instant now);
  void NoteEnd(Job& job, policy::AttemptOutcome end,
               const std::optional<policy::ReportedLoad>& load,
               kernel::Instant now);
  bool MayRepeat(Job& job, kernel::ErrorKind failure, kernel::Instant now);
  void PlaceWaiting(ServiceState& state, kernel::Instant now);
  void Refuse(Job& job, kernel::ErrorKind kind, std::string_view why,
              kernel::Duration expected_wait);
  void Finish(Job& job, net::HttpAnswer answer);
  void Forget(Job& job);
  void LogFailure(const Job& job, const kernel::Error& error) const;
  double Random();

  observe::Metrics& metrics;
  WireProtocol& wire;
  net::ServerLinks& links;
  net::HttpFront* front = nullptr;
  DispatcherSettings settings;
  std::size_t instance_count;
  bool config_is_current = false;
  std::unique_ptr<routing::RouteTable> routes;
  std::shared_ptr<const model::Configuration> config;
  ServerDirectory directory;
  std::map<std::string, const model::BackendServer*, std::less<>> by_id;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> services;
  std::map<std::uint64_t, std::unique_ptr<Job>> jobs;
  std::map<net::RequestRef, std::uint64_t> by_ref;
  std::uint64_t last_job_id = 0;
  std::mt19937_64 random;
  std::function<void(std::string_view, ranges::Key)> on_key_used;
  std::function<void(std::string_view)> on_stale_owners;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_DISPATCHER_H_
