/// \file
/// Defines the bytes that a connection has to send.
///
/// One string for all would be moved with each part that is sent, and would
/// hold a copy of each body. Here a large body is taken over as it is.

#ifndef CHERVILMUX_NET_OUTPUT_QUEUE_H_
#define CHERVILMUX_NET_OUTPUT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace chervilmux::net {

class OutputQueue {
 public:
  void Append(std::string bytes);

  /// Copies a large message in blocks, which are released as they are sent.
  /// Needs twice its memory meanwhile.
  void AppendInBlocks(std::string bytes);

  bool IsEmpty() const { return this->pieces.empty(); }

  /// Bytes that are not sent.
  std::size_t Size() const { return this->held_bytes - this->sent_of_first; }

  /// Bytes of memory: at most twice those that are not sent.
  std::size_t HeldBytes() const { return this->held_bytes; }

  /// The next bytes to send. The queue must not be empty.
  std::string_view Next() const;

  /// Drops the first `sent` bytes of Next().
  void Consume(std::size_t sent);

  void Clear();

 private:
  std::deque<std::string> pieces;
  std::size_t sent_of_first = 0;
  std::size_t held_bytes = 0;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_OUTPUT_QUEUE_H_
