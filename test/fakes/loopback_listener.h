/// \file
/// Defines a listening socket on a free port of the loopback address.

#ifndef CHERVILMUX_TEST_FAKES_LOOPBACK_LISTENER_H_
#define CHERVILMUX_TEST_FAKES_LOOPBACK_LISTENER_H_

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"

namespace chervilmux::fakes {

class LoopbackListener {
 public:
  /// `backlog`: connections that may wait to be accepted.
  explicit LoopbackListener(int backlog = 8)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    auto* generic = reinterpret_cast<sockaddr*>(&bound);
    REQUIRE(bind(this->descriptor, generic, size) == 0);
    REQUIRE(listen(this->descriptor, backlog) == 0);
    REQUIRE(getsockname(this->descriptor, generic, &size) == 0);
    this->address = {"127.0.0.1", ntohs(bound.sin_port)};
  }
  ~LoopbackListener() { this->Close(); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  int Descriptor() const { return this->descriptor; }

  int Accept() const { return accept(this->descriptor, nullptr, nullptr); }

  /// Wakes a thread that is in Accept().
  void Shutdown() const { shutdown(this->descriptor, SHUT_RDWR); }

  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }

  net::Address address;

 private:
  int descriptor;
};

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_LOOPBACK_LISTENER_H_
