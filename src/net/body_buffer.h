/// \file
/// Defines a buffer for a message body whose size is not known in advance.
///
/// A string that grows holds up to twice what it has received, and three times
/// while it moves. The sender of a body may never end it, so that a limit on
/// memory needs a buffer that holds little more than it has received.

#ifndef CHERVILMUX_NET_BODY_BUFFER_H_
#define CHERVILMUX_NET_BODY_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::net {

class BodyBuffer {
 public:
  void Append(std::string_view bytes);

  /// Bytes received.
  std::size_t Size() const;

  /// Bytes of memory. A small body holds up to twice its size, a large one one
  /// block more.
  std::size_t HeldBytes() const;

  /// The whole body. The buffer is empty afterwards.
  std::string Take();

 private:
  /// Filled one after the other, each up to its capacity.
  std::vector<std::string> blocks;
  std::size_t size = 0;
  std::size_t held_bytes = 0;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_BODY_BUFFER_H_
