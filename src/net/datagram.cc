#include "net/datagram.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Dgram.h>

#include <array>
#include <utility>

namespace chervilmux::net {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65507;
constexpr int kReceiveBufferBytes = 1 << 20;

}  // namespace

class Datagram::Impl : public ACE_Event_Handler {
 public:
  Impl(kernel::ReactorTask& task, DatagramHandler handler)
      : task(task), handler(std::move(handler)) {}

  ~Impl() override {
    if (this->socket.get_handle() == ACE_INVALID_HANDLE) return;
    this->task.Reactor().remove_handler(
        this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    this->socket.close();
  }

  bool Open(const Address& address) {
    if (this->socket.open(address.ToAce()) != 0) return false;
    this->socket.enable(ACE_NONBLOCK);
    int bytes = kReceiveBufferBytes;
    this->socket.set_option(SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    this->task.Reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    return true;
  }

  void Send(const Address& to, std::string_view bytes) {
    this->socket.send(bytes.data(), bytes.size(), to.ToAce());
  }

  ACE_HANDLE get_handle() const override { return this->socket.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    ACE_INET_Addr from;
    while (true) {
      const ssize_t size =
          this->socket.recv(this->buffer.data(), this->buffer.size(), from);
      if (size < 0) return 0;
      this->handler({this->buffer.data(), static_cast<std::size_t>(size)});
    }
  }

 private:
  kernel::ReactorTask& task;
  DatagramHandler handler;
  ACE_SOCK_Dgram socket;
  std::array<char, kMaxDatagramBytes> buffer{};
};

Datagram::Datagram(kernel::ReactorTask& task, DatagramHandler handler)
    : impl(std::make_unique<Impl>(task, std::move(handler))) {}

Datagram::~Datagram() = default;

kernel::Result<void> Datagram::Open(const Address& address) {
  if (this->impl->Open(address)) return kernel::Ok();
  return kernel::Fail(kernel::ErrorKind::kSettingInvalid,
                      "cannot bind UDP " + address.ToString());
}

void Datagram::Send(const Address& to, std::string_view bytes) {
  this->impl->Send(to, bytes);
}

}  // namespace chervilmux::net
