#include "net/tcp.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>

#include "observe/log.h"

namespace chervilmux::net {
namespace {

struct Option {
  int level;
  int name;
  int value;
};

constexpr int kProbes = 2;  // unanswered ones that end a connection

}  // namespace

void TuneConnection(int descriptor, kernel::Duration unacknowledged) {
  const int flags = fcntl(descriptor, F_GETFL);
  bool failed =
      flags < 0 ||
      fcntl(descriptor, F_SETFL, static_cast<unsigned>(flags) | O_NONBLOCK) < 0;
  const auto limit_ms = static_cast<int>(kernel::ToMs(unacknowledged));
  const int probe_s = std::max(1, limit_ms / 1000 / (kProbes + 1));
  const auto options = std::to_array<Option>({
      {IPPROTO_TCP, TCP_NODELAY, 1},
      {SOL_SOCKET, SO_KEEPALIVE, 1},
      {IPPROTO_TCP, TCP_KEEPIDLE, std::max(2, probe_s)},
      {IPPROTO_TCP, TCP_KEEPINTVL, probe_s},
      {IPPROTO_TCP, TCP_KEEPCNT, kProbes},
      {IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms},
  });
  for (const auto& option : options) {
    failed = setsockopt(descriptor, option.level, option.name, &option.value,
                        sizeof(option.value)) != 0 ||
             failed;
  }
  if (failed) {
    observe::LogWarn("socket_option_refused",
                     {{"descriptor", std::to_string(descriptor)}});
  }
}

void EventWatch::Set(bool watch) {
  if (watch == this->watching) return;
  this->watching = watch;
  if (watch) {
    this->reactor.register_handler(&this->handler, this->mask);
  } else {
    this->reactor.remove_handler(&this->handler,
                                 this->mask | ACE_Event_Handler::DONT_CALL);
  }
}

}  // namespace chervilmux::net
