/// \file
/// Defines a UDP socket that belongs to one task.

#ifndef CHERVILMUX_NET_DATAGRAM_H_
#define CHERVILMUX_NET_DATAGRAM_H_

#include <functional>
#include <memory>
#include <string_view>

#include "kernel/error.h"
#include "kernel/task.h"
#include "net/address.h"

namespace chervilmux::net {

/// Called for each datagram on the task's thread.
using DatagramHandler = std::function<void(std::string_view bytes)>;

class Datagram {
 public:
  Datagram(kernel::ReactorTask& task, DatagramHandler handler);
  ~Datagram();
  Datagram(const Datagram&) = delete;
  Datagram& operator=(const Datagram&) = delete;

  /// Binds to `address`. Errors: kSettingInvalid when it is taken.
  kernel::Result<void> Open(const Address& address);

  /// Sends without waiting; a full buffer drops the datagram.
  void Send(const Address& to, std::string_view bytes);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_DATAGRAM_H_
