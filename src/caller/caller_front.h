/// \file
/// Defines the callers' side: HTTP in, one whole answer or one truthful refusal
/// out.

#ifndef CHERVILMUX_CALLER_CALLER_FRONT_H_
#define CHERVILMUX_CALLER_CALLER_FRONT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kernel/registry.h"
#include "kernel/task.h"
#include "net/http_front.h"
#include "observe/metrics.h"
#include "routing/router_task.h"

namespace chervilmux::caller {

/// Header by which a caller sets how long it waits, in milliseconds.
inline constexpr std::string_view kTimeoutHeader = "X-Timeout-Ms";
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kOutcomeHeader = "X-Outcome";
inline constexpr std::string_view kErrorKindHeader = "X-Error-Kind";
inline constexpr std::string_view kServerHeader = "X-Served-By";
inline constexpr std::string_view kEpochHeader = "X-Ownership-Epoch";

struct CallerFrontOptions {
  net::Address address;
  std::size_t max_body_bytes = 1U << 20U;
};

/// Reads callers' requests on a task of its own and hands them to the router.
class CallerFront {
 public:
  /// Finds the router and "metrics" in the registry.
  CallerFront(const kernel::Registry& registry, std::string instance,
              CallerFrontOptions options);

  /// Starts to listen. Errors: kSettingInvalid when the address is taken.
  kernel::Result<void> Start();

  /// From now on answers ask callers to close. Safe from any thread.
  void CloseAfterAnswers();

  /// Accepts no further connection and closes idle ones. Safe from any thread.
  void Quiesce();

  /// Ends everything. Answers that come later reach nobody.
  void Stop() { this->task.Stop(); }

 private:
  void OnRequest(const net::RequestRef& ref, net::HttpRequest request);
  void OnGone(const net::RequestRef& ref);
  void Answer(const net::RequestRef& ref, net::HttpAnswer answer);
  net::HttpAnswer Refuse(const kernel::Error& error,
                         const std::string& request_id);
  void OnReply(const net::RequestRef& ref, const std::string& request_id,
               routing::Reply reply);
  std::string NextRequestId();

  routing::RouterTask& router;
  observe::Metrics& metrics;
  std::string id_prefix;
  CallerFrontOptions options;
  std::uint64_t last_id = 0;
  std::map<net::RequestRef, std::string> open;  ///< Ids of what is pending.
  kernel::ReactorTask task;
  net::HttpFront front;
};

/// The HTTP answer that tells a caller of `reply`.
net::HttpAnswer ToHttpAnswer(routing::Reply reply, std::string_view request_id);

}  // namespace chervilmux::caller

#endif  // CHERVILMUX_CALLER_CALLER_FRONT_H_
