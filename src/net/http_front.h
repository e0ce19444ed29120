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
#include <span>
#include <string>
#include <string_view>

#include "kernel/error.h"
#include "kernel/task.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/body_demand.h"
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
  /// Bytes of answers that their callers have not taken yet, over all
  /// connections. Beyond it the connections whose callers took nothing for
  /// longest end with their answers cut off.
  std::size_t max_unsent_bytes = 128U << 20U;
  /// What requests without an answer may be charged with, over all connections.
  /// Bodies are charged before they are read, with twice their size: as the
  /// caller sends them, and as they go to a server.
  std::size_t max_request_bytes = 128U << 20U;
  /// The same for one large body while there is no other.
  std::size_t max_request_bytes_alone = 256U << 20U;
};

/// Why a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kIdle,          ///< Idle for longer than the limit.
  kStop,          ///< Idle while the server stops.
  kRoom,          ///< Idle while new connections need room.
  kAnswered,      ///< Its last answer told the caller to close.
  kCallerClosed,  ///< The caller closed or reset it.
  kUnreachable,   ///< The caller's side no longer acknowledged anything.
  kUnsent,  ///< Memory was short, and its caller took nothing for longest.
};
std::string_view NameOf(ConnectionEnd end);

/// The end of one connection, with what tells a lost request from an idle one.
struct ConnectionClose {
  ConnectionEnd end = ConnectionEnd::kIdle;
  kernel::Duration idle{};    ///< Since the last answer or the start.
  std::size_t pending = 0;    ///< Requests without an answer.
  std::size_t unread = 0;     ///< Bytes that had arrived and were not read.
  std::size_t unsent = 0;     ///< Bytes of answers that were not sent.
  kernel::Duration behind{};  ///< How late the last check of time limits was.
};

/// What the server tells its owner. All on the task's thread.
struct FrontEvents {
  /// A whole request arrived. Answer() may be called at once or later.
  std::function<void(const RequestRef&, HttpRequest)> on_request;
  /// The connection ended before this request was answered: its caller closed
  /// it, or took nothing of earlier answers.
  std::function<void(const RequestRef&)> on_gone;
  /// The answer to bytes that are no acceptable request.
  std::function<HttpAnswer(const kernel::Error&)> refuse;
  /// Asked before a body is charged with more. Empty: all bodies are read.
  std::function<BodyDecision(const BodyCharges&, const BodyDemand&,
                             std::span<const BodyInProgress>)>
      decide_body = {};
  /// A connection has ended. May be empty.
  std::function<void(const ConnectionClose&)> on_close = {};
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

  /// Changes FrontLimits::max_unsent_bytes until the limits are set again.
  void SetMaxUnsentBytes(std::size_t limit);

  /// Changes FrontLimits::max_request_bytes and max_request_bytes_alone until
  /// the limits are set again.
  void SetMaxRequestBytes(std::size_t limit, std::size_t limit_alone);

  /// From now on each answer that is the last one pending on its connection
  /// asks the caller to close.
  void CloseAfterAnswers();

  /// Accepts no further connection and closes those that are idle; later ones
  /// close as soon as their last answer is written.
  void StopAccepting();

  /// Refuses the requests that have not arrived whole, and closes connections
  /// that are idle. Requests that arrive whole later are passed on as before.
  void EndPartialRequests(const kernel::Error& error);

  /// Requests read and not answered yet, on all connections.
  std::size_t Pending() const;

  /// Connections that are open.
  std::size_t Connections() const;

  /// Whether the caller has closed its connection. An instance that is behind
  /// can know this before FrontEvents::on_gone tells it.
  bool HasCallerLeft(const RequestRef& ref) const;

  /// Bytes of requests that are not whole, or have no answer yet.
  std::size_t BufferedBytes() const;

  /// What requests without an answer are charged with.
  std::size_t ChargedBytes() const;

  /// Bytes of answers that their callers have not taken yet.
  std::size_t UnsentBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// The bytes of `answer` on the wire. `without_body`: it answers a HEAD.
std::string EncodeAnswer(const HttpAnswer& answer, bool without_body,
                         bool close);

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_HTTP_FRONT_H_
