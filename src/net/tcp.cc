#include "net/tcp.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

constexpr auto kOptions = std::to_array<Option>({
    {IPPROTO_TCP, TCP_NODELAY, 1},
    {SOL_SOCKET, SO_KEEPALIVE, 1},
    {IPPROTO_TCP, TCP_KEEPIDLE, 2},   // seconds idle before the first probe
    {IPPROTO_TCP, TCP_KEEPINTVL, 1},  // seconds between probes
    {IPPROTO_TCP, TCP_KEEPCNT, 2},    // unanswered probes that end it
    {IPPROTO_TCP, TCP_USER_TIMEOUT,
     static_cast<int>(kUnacknowledgedLimit / kernel::milliseconds(1))},
});

}  // namespace

void TuneConnection(int descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  bool failed =
      flags < 0 ||
      fcntl(descriptor, F_SETFL, static_cast<unsigned>(flags) | O_NONBLOCK) < 0;
  for (const auto& option : kOptions) {
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
