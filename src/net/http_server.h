/// \file
/// Defines an HTTP server on libmicrohttpd whose answers may come later, from
/// any thread.

#ifndef CHERVILMUX_NET_HTTP_SERVER_H_
#define CHERVILMUX_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "kernel/error.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/http_message.h"

namespace chervilmux::net {

/// Gives the one answer of a request; safe from any thread. Copies share the
/// request, and only the first answer counts.
using Responder = std::function<void(HttpAnswer)>;

/// Called on a server thread once the whole request has arrived; its `url` is
/// the raw target, query included. A request with too large a body is answered
/// 413 and not handed over.
using RequestHandler = std::function<void(HttpRequest, Responder)>;

struct HttpServerOptions {
  Address address;
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_head_bytes = 32U << 10U;
  kernel::Duration idle_timeout = kernel::seconds(30);
  unsigned threads = 1;
};

class HttpServer {
 public:
  HttpServer(HttpServerOptions options, RequestHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen. Errors: kSettingInvalid when the address is taken.
  kernel::Result<void> Start();

  /// Ends everything. Requests without an answer must be gone by then.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_HTTP_SERVER_H_
