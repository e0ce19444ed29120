/// \file
/// Defines the connections to backend servers: one request at a time on each,
/// with exact knowledge of whether a request may have left.
///
/// libcurl (net/http_client.h) hides two things that the data path needs: bytes
/// that arrive on an idle connection or behind an answer, and answers to an
/// earlier request that arrive in place of the awaited one. Both would reach
/// the wrong caller. Parsing is http_parser's.

#ifndef CHERVILMUX_NET_SERVER_LINKS_H_
#define CHERVILMUX_NET_SERVER_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "kernel/task.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_message.h"

namespace chervilmux::net {

/// One request to one backend server.
struct Exchange {
  Address address;
  HttpRequest request;  ///< `url` is the request target.
  kernel::Instant deadline;
  bool may_repeat = false;  ///< Whether the request is idempotent.
  /// Use no idle connection: on a new one each answer is to this request.
  bool fresh_connection = false;
  std::size_t max_answer_bytes = 64U << 20U;
  /// Idle connections to `address` that are kept after this request.
  std::size_t max_idle = std::numeric_limits<std::size_t>::max();
  /// Share of the time that the server allows for which this connection is
  /// kept.
  double idle_time_factor = 1;
  /// Asked once a new connection is open, before the request is sent: whether
  /// its caller still waits. Otherwise the transfer ends as kCancelled.
  std::function<bool()> is_wanted;
  /// The request as it is to be sent now, asked when opening the connection
  /// took long: the time that it leaves its server has changed. Without it such
  /// a request is not sent.
  std::function<HttpRequest()> renew;
  /// Asked likewise: whether the request may still go to this server. Otherwise
  /// the transfer ends as kWithheld.
  std::function<bool()> may_send;
  /// Whether an answer belongs to this request; others are thrown away.
  std::function<bool(const HttpAnswer&)> belongs;
  TransferDone done;
};

class ServerLinks {
 public:
  explicit ServerLinks(kernel::ReactorTask& task);
  ~ServerLinks();
  ServerLinks(const ServerLinks&) = delete;
  ServerLinks& operator=(const ServerLinks&) = delete;

  /// Sends; `done` is called exactly once, later, unless Cancel() comes first.
  TransferId Start(Exchange exchange);

  /// Abandons the request and closes its connection; `done` is not called.
  void Cancel(TransferId id);

  /// Ends all transfers as at their deadlines: answers that have arrived count.
  void EndAll();

  /// Closes the idle connections to `address`.
  void CloseIdle(const Address& address);

  /// Bounds the memory of unfinished answers over all connections, in bytes.
  /// When they exceed it, the largest answer is given up as kTooLarge: a faulty
  /// server may send bytes without end.
  void SetMaxBufferedBytes(std::size_t limit);

  /// While unfinished answers hold more than this, only the oldest large one
  /// and those to requests that must not be repeated are read on.
  void SetReadLimit(std::size_t limit);

  /// Bytes of memory that hold unfinished answers.
  std::size_t BufferedBytes() const;

  /// Ends what is over its time. Call every few milliseconds.
  void CheckTime(kernel::Instant now);

  /// Connections to `address` that are open or being opened.
  std::size_t OpenTo(const Address& address) const;

  /// Connections opened since the start.
  std::uint64_t Opened() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_SERVER_LINKS_H_
