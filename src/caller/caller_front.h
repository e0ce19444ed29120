/// \file
/// Defines the callers' side: HTTP in, one whole answer or one truthful refusal
/// out.

#ifndef CHERVILMUX_CALLER_CALLER_FRONT_H_
#define CHERVILMUX_CALLER_CALLER_FRONT_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/registry.h"
#include "net/http_server.h"
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

class CallerFront {
 public:
  CallerFront(const kernel::Registry& registry, std::string instance,
              const net::HttpServerOptions& options);

  kernel::Result<void> Start() { return this->server.Start(); }
  void Quiesce() { this->server.Quiesce(); }
  void Stop() { this->server.Stop(); }

 private:
  void OnRequest(net::ServerRequest request, net::Responder respond);
  std::string NextRequestId();

  routing::RouterTask& router;
  observe::Metrics& metrics;
  std::string id_prefix;
  std::atomic<std::uint64_t> last_id = 0;
  net::HttpServer server;
};

/// The HTTP answer that tells a caller of `reply`.
net::HttpAnswer ToHttpAnswer(routing::Reply reply, std::string_view request_id);

}  // namespace chervilmux::caller

#endif  // CHERVILMUX_CALLER_CALLER_FRONT_H_
