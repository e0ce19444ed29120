/// \file
/// Defines an HTTP/1.1 server that lives on one task's reactor, reads pipelined
/// requests ahead and tells when a caller has left.
///
/// libmicrohttpd (net/http_server.h) reads the next request of a connection
/// only after the answer to the one before, which adds the waits of pipelined
/// requests up, and it does not tell that a caller closed its connection while
/// the answer is pending. Both matter to callers, so the data path has a server
/// of its own; parsing is http_parser's.

#ifndef CHERVILMUX_NET_HTTP_FRONT_H_
#define CHERVILMUX_NET_HTTP_FRONT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "kernel/error.h"
#include "kernel/task.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/http_message.h"
#include "net/message_reader.h"

namespace chervilmux::net {

/// Names one request of one connection.
struct RequestRef {
  std::uint64_t connection = 0;
  std::uint64_t sequence = 0;  ///< Position on its connection.
  auto operator<=>(const RequestRef&) const = default;
};

struct FrontLimits {
  ReadLimits read;
  /// Connections open at a time. Beyond it the ones that are idle for longest
  /// are closed; where none is idle, new ones wait to be accepted.
  std::size_t max_connections = 2000;
  /// Longest time from the first byte of a request to its last.
  kernel::Duration request_timeout = kernel::seconds(3);
  kernel::Duration idle_timeout = kernel::seconds(15);
};

/// What the server tells its owner. All on the task's thread.
struct FrontEvents {
  /// A whole request arrived. Answer() may be called at once or later.
  std::function<void(const RequestRef&, HttpRequest)> on_request;
  /// The caller closed its connection before this request was answered.
  std::function<void(const RequestRef&)> on_gone;
  /// The answer to bytes that are no acceptable request.
  std::function<HttpAnswer(const kernel::Error&)> refuse;
};

class HttpFront {
 public:
  HttpFront(kernel::ReactorTask& task, FrontEvents events);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  /// Starts to listen. Errors: kSettingInvalid when the address is taken.
  kernel::Result<void> Listen(const Address& address);

  /// Answers a request. Ignored when its caller has left.
  void Answer(const RequestRef& ref, HttpAnswer answer);

  void SetLimits(const FrontLimits& limits);

  /// From now on each answer that is the last one pending on its connection
  /// asks the caller to close.
  void CloseAfterAnswers();

  /// Accepts no further connection and closes those that are idle; later ones
  /// close as soon as their last answer is written.
  void StopAccepting();

  /// Requests read and not answered yet, on all connections.
  std::size_t Pending() const;

  /// Connections that are open.
  std::size_t Connections() const;

  /// Whether the caller has closed its connection. An instance that is behind
  /// can know this before FrontEvents::on_gone tells it.
  bool HasCallerLeft(const RequestRef& ref) const;

  /// Bytes of requests that are not whole, or not taken yet.
  std::size_t BufferedBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// The bytes of `answer` on the wire. `without_body`: it answers a HEAD.
std::string EncodeAnswer(const HttpAnswer& answer, bool without_body,
                         bool close);

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_HTTP_FRONT_H_
