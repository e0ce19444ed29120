/// \file
/// Defines framed messages over TCP between two instances.
///
/// A frame is a 4-byte big-endian length and that many bytes. One link carries
/// many requests at once; matching answers to requests is the user's part. Both
/// ends own their sockets within one task.

#ifndef CHERVILMUX_NET_FRAME_LINK_H_
#define CHERVILMUX_NET_FRAME_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "kernel/error.h"
#include "kernel/task.h"
#include "net/address.h"

namespace chervilmux::net {

inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// Names one accepted or opened connection within its FrameEndpoint.
using LinkId = std::uint64_t;

/// All framed connections of one task.
class FrameEndpoint {
 public:
  struct Handlers {
    std::function<void(LinkId, std::string_view)> on_frame;
    /// The link is gone; its id is not used again. `nothing_sent` says that no
    /// byte of any frame was handed to the network.
    std::function<void(LinkId, bool nothing_sent)> on_closed;
  };

  FrameEndpoint(kernel::ReactorTask& task, Handlers handlers);
  ~FrameEndpoint();
  FrameEndpoint(const FrameEndpoint&) = delete;
  FrameEndpoint& operator=(const FrameEndpoint&) = delete;

  /// Accepts links at `address`. Errors: kSettingInvalid when it is taken.
  kernel::Result<void> Listen(const Address& address);

  /// Begins to open a link. Frames may be sent at once; when the connection
  /// cannot be made, on_closed follows.
  LinkId Connect(const Address& address);

  /// Queues a frame. Returns false when the link is gone or its backlog full;
  /// then no byte of the frame leaves.
  bool Send(LinkId link, std::string_view bytes);

  void Close(LinkId link);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_FRAME_LINK_H_
