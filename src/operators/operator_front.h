/// \file
/// Defines the operators' side of an entry instance: metrics for scrapers and
/// JSON-RPC calls for `chervilmux` and for other instances.

#ifndef CHERVILMUX_OPERATORS_OPERATOR_FRONT_H_
#define CHERVILMUX_OPERATORS_OPERATOR_FRONT_H_

#include <functional>
#include <memory>

#include "kernel/registry.h"
#include "net/http_server.h"

namespace chervilmux::operators {

/// Serves GET /metrics, GET /health and POST /rpc with the methods `status`,
/// `explain`, `names`, `manifest` and `drain`.
class OperatorFront {
 public:
  /// `drain` is called when an operator asks this instance to stop.
  OperatorFront(const kernel::Registry& registry, const net::Address& address,
                std::function<void()> drain);
  ~OperatorFront();
  OperatorFront(const OperatorFront&) = delete;
  OperatorFront& operator=(const OperatorFront&) = delete;

  kernel::Result<void> Start();
  void Stop();

 private:
  class Connector;
  class Rpc;
  void OnRequest(const net::HttpRequest& request,
                 const net::Responder& respond);

  const kernel::Registry& registry;
  std::unique_ptr<Connector> connector;
  std::unique_ptr<Rpc> rpc;
  net::HttpServer server;
};

}  // namespace chervilmux::operators

#endif  // CHERVILMUX_OPERATORS_OPERATOR_FRONT_H_
