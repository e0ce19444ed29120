/// \file
/// Defines an asynchronous HTTP client: libcurl's multi interface driven by the
/// ACE reactor of the task that owns it.
///
/// libcurl by itself repeats a request, POST included, when a reused connection
/// closes before any answer byte. For a request that must not be repeated the
/// client forbids that: the moment the request is about to be written a second
/// time, the transfer is aborted and reported as possibly sent.

#ifndef CHERVILMUX_NET_HTTP_CLIENT_H_
#define CHERVILMUX_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "kernel/task.h"
#include "kernel/time.h"
#include "net/http_message.h"

namespace chervilmux::net {

enum class TransferEnd : std::uint8_t {
  kComplete,  ///< A whole answer arrived.
  kNotSent,   ///< No byte of the request can have reached the server.
  kTimedOut,  ///< No whole answer by the deadline; possibly sent.
  /// The connection failed after the request may have left. ServerLinks: before
  /// a byte of an answer arrived.
  kBroken,
  kTruncated,  ///< The answer began but is not whole.
  kTooLarge,   ///< The answer exceeds the limit.
  kCancelled,  ///< Cancel() was called, or the request is no longer wanted.
  kWithheld,   ///< Not sent, because it must no longer go to this server.
};

struct TransferResult {
  TransferEnd end = TransferEnd::kNotSent;
  bool possibly_sent = false;
  bool reused_connection = false;
  /// The server accepted the connection. Only ServerLinks sets this.
  bool connected = false;
  HttpAnswer answer;  ///< With kComplete.
};

struct TransferOptions {
  /// No request is sent later. An answer that has arrived when the client gets
  /// to look counts.
  kernel::Instant deadline;
  std::size_t max_answer_bytes = 1U << 20U;
  bool fresh_connection = false;    ///< Use no idle connection.
  bool may_repeat = false;          ///< Whether the request is idempotent.
  bool accepts_compressed = false;  ///< The answer's body arrives plain.
};

using TransferDone = std::function<void(TransferResult)>;
using TransferId = std::uint64_t;

/// Lives on one task's thread; call only from there.
class HttpClient {
 public:
  /// `max_connections_per_server` bounds the connections to one address.
  HttpClient(kernel::ReactorTask& task, long max_connections_per_server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts `request`; `done` is called exactly once, later, on this thread.
  TransferId Start(const HttpRequest& request, const TransferOptions& options,
                   TransferDone done);

  /// Abandons a transfer and closes its connection. `done` gets kCancelled.
  void Cancel(TransferId id);

  /// Bounds the memory of unfinished answers over all transfers, in bytes. When
  /// they exceed it, the largest answer is given up as kTooLarge: a faulty
  /// server may send bytes without end.
  void SetMaxBufferedBytes(std::size_t limit);

  /// Bytes of memory that hold unfinished answers.
  std::size_t BufferedBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_HTTP_CLIENT_H_
