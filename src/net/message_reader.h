/// \file
/// Defines incremental readers of HTTP/1.1 requests and answers, on top of the
/// http_parser library. Heads that may be read in two ways are refused
/// (net/message_head.h).

#ifndef CHERVILMUX_NET_MESSAGE_READER_H_
#define CHERVILMUX_NET_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/error.h"
#include "net/http_message.h"

namespace chervilmux::net {

enum class ReadState : std::uint8_t {
  kNeedMore,  ///< The message is not whole yet.
  kComplete,  ///< The message is whole; bytes after it are left over.
  kInvalid,   ///< The bytes are no message that this reader accepts.
};

struct ReadLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 64U << 20U;
};

/// A body that is being read.
struct BodyProgress {
  std::size_t received = 0;
  std::optional<std::size_t> announced;  ///< Its size, if the head tells it.
};

/// Reads one request after the other from a byte stream.
class RequestReader {
 public:
  explicit RequestReader(const ReadLimits& limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Appends bytes of the stream.
  void Append(std::string_view bytes);

  /// Goes on reading; after kComplete the next call begins the next request.
  ReadState Advance();

  /// The request, after kComplete.
  HttpRequest Take();

  /// Why the request was refused, after kInvalid.
  const kernel::Error& Refusal() const;

  /// Bytes that belong to no whole request yet, and those behind it.
  std::size_t BufferedBytes() const;

  /// The body that is not whole, if a head with one has been read.
  std::optional<BodyProgress> Body() const;

  /// Forgets the bytes of the request that is not whole, and those behind it.
  /// Only for a reader that is given no more.
  void Discard();

  /// Whether any byte of an unfinished request has arrived.
  bool InMessage() const;

  /// Whether the sender waits for an interim answer before it sends the body.
  /// True once for each such request.
  bool TakeExpectsContinue();

  void SetLimits(const ReadLimits& limits);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// Reads one answer. Interim answers (1xx) are skipped. Bytes that HTTP does
/// not allow in a head make the answer invalid: they would reach a caller.
class AnswerReader {
 public:
  /// `to_head`: the request's method was HEAD, so that no body follows.
  AnswerReader(bool to_head, std::size_t max_body_bytes);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  ReadState Append(std::string_view bytes);

  /// The peer closed its side in order: completes an answer without a length.
  ReadState OnEnd();

  /// Whether any byte of an answer has arrived.
  bool Started() const;

  /// How many bytes of the last Append() belong to this answer.
  std::size_t Used() const;

  /// Whether the connection may carry another request.
  bool KeepAlive() const;

  bool TooLarge() const;

  /// Bytes of memory that hold the answer.
  std::size_t HeldBytes() const;

  HttpAnswer Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_MESSAGE_READER_H_
