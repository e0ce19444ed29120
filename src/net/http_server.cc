#include "net/http_server.h"

#include <microhttpd.h>

#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace chervilmux::net {
namespace {

/// One request from its first byte to the end of its answer. Shared by the
/// connection and by the responder, which may outlive it.
struct Exchange {
  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  bool body_too_large = false;
  bool handed_over = false;
  bool suspended = false;
  std::optional<HttpAnswer> answer;
};
using SharedExchange = std::shared_ptr<Exchange>;

MHD_Result CollectHeader(void* user, MHD_ValueKind /*kind*/, const char* name,
                         const char* value) {
  auto& headers = *static_cast<Headers*>(user);
  headers.push_back({name, value == nullptr ? "" : value});
  return MHD_YES;
}

std::size_t KeepEscapes(void* /*user*/, MHD_Connection* /*connection*/,
                        char* text) {
  return std::string_view(text).size();
}

void Respond(const SharedExchange& exchange, HttpAnswer answer) {
  const std::lock_guard lock(exchange->mutex);
  if (exchange->answer) return;
  exchange->answer = std::move(answer);
  if (!exchange->suspended || exchange->connection == nullptr) return;
  exchange->suspended = false;
  MHD_resume_connection(exchange->connection);
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, RequestHandler handler)
      : options(std::move(options)), handler(std::move(handler)) {}

  ~Impl() { this->Stop(); }

  bool Start() {
    const ACE_INET_Addr address = this->options.address.ToAce();
    const bool v6 = this->options.address.ip.find(':') != std::string::npos;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    if (v6) flags |= MHD_USE_IPv6;
    const auto timeout =
        static_cast<unsigned>(kernel::ToMs(this->options.idle_timeout) / 1000);
    this->daemon = MHD_start_daemon(
        flags, this->options.address.port, nullptr, nullptr, &Impl::OnRequest,
        this, MHD_OPTION_SOCK_ADDR, address.get_addr(),
        MHD_OPTION_CONNECTION_TIMEOUT, timeout,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, this->options.max_head_bytes,
        MHD_OPTION_THREAD_POOL_SIZE,
        this->options.threads > 1 ? this->options.threads : 0U,
        MHD_OPTION_UNESCAPE_CALLBACK, &KeepEscapes, nullptr,
        MHD_OPTION_URI_LOG_CALLBACK, &Impl::OnTarget, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::OnCompleted, this, MHD_OPTION_END);
    return this->daemon != nullptr;
  }

  void Stop() {
    if (this->daemon == nullptr) return;
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
  }

 private:
  /// Called with the raw target when the request line has arrived; its result
  /// becomes the connection's context.
  static void* OnTarget(void* /*user*/, const char* target,
                        MHD_Connection* connection) {
    auto exchange = std::make_shared<Exchange>();
    exchange->connection = connection;
    exchange->request.url = target;
    return new SharedExchange(std::move(exchange));
  }

  static MHD_Result OnRequest(void* user, MHD_Connection* connection,
                              const char* /*url*/, const char* method,
                              const char* /*version*/, const char* data,
                              std::size_t* size, void** context) {
    auto* impl = static_cast<Impl*>(user);
    const auto& exchange = *static_cast<SharedExchange*>(*context);
    HttpRequest& request = exchange->request;
    if (request.method.empty()) {
      request.method = method;
      MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                                &request.headers);
      return MHD_YES;
    }
    if (*size > 0) {
      impl->TakeBody(*exchange, {data, *size});
      *size = 0;
      return MHD_YES;
    }
    return impl->Continue(connection, exchange);
  }

  void TakeBody(Exchange& exchange, std::string_view data) const {
    std::string& body = exchange.request.body;
    if (body.size() + data.size() > this->options.max_body_bytes) {
      exchange.body_too_large = true;
      body.clear();
    }
    if (!exchange.body_too_large) body += data;
  }

  MHD_Result Continue(MHD_Connection* connection,
                      const SharedExchange& exchange) {
    if (exchange->body_too_large) {
      return this->Queue(connection, {MHD_HTTP_CONTENT_TOO_LARGE, {}, ""});
    }
    if (!exchange->handed_over) {
      exchange->handed_over = true;
      this->handler(std::move(exchange->request),
                    [exchange](HttpAnswer answer) {
                      Respond(exchange, std::move(answer));
                    });
    }
    const std::lock_guard lock(exchange->mutex);
    if (exchange->answer) return this->Queue(connection, *exchange->answer);
    exchange->suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
  }

  MHD_Result Queue(MHD_Connection* connection, const HttpAnswer& answer) const {
    // The body outlives this call by being copied.
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(),
        const_cast<char*>(answer.body.data()),  // NOLINT: library signature
        MHD_RESPMEM_MUST_COPY);
    for (const auto& header : answer.headers) {
      if (SameHeaderName(header.name, "content-length")) continue;
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
    const MHD_Result result =
        MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
  }

  static void OnCompleted(void* /*user*/, MHD_Connection* /*connection*/,
                          void** context, MHD_RequestTerminationCode /*code*/) {
    auto* shared = static_cast<SharedExchange*>(*context);
    if (shared == nullptr) return;
    {
      const std::lock_guard lock((*shared)->mutex);
      (*shared)->connection = nullptr;
    }
    delete shared;
    *context = nullptr;
  }

  HttpServerOptions options;
  RequestHandler handler;
  MHD_Daemon* daemon = nullptr;
};

HttpServer::HttpServer(HttpServerOptions options, RequestHandler handler)
    : impl(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

kernel::Result<void> HttpServer::Start() {
  if (this->impl->Start()) return kernel::Ok();
  return kernel::Fail(kernel::ErrorKind::kSettingInvalid,
                      "cannot listen on the given TCP address");
}

void HttpServer::Stop() { this->impl->Stop(); }

}  // namespace chervilmux::net
