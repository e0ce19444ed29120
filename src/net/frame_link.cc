#include "net/frame_link.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilmux::net {
namespace {

constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kReadChunkBytes = 64U << 10U;
constexpr std::size_t kMaxBacklogBytes = 64U << 20U;

std::string EncodeLength(std::size_t size) {
  std::string header(kHeaderBytes, '\0');
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    header[i] = static_cast<char>(size >> (8 * (kHeaderBytes - 1 - i)));
  }
  return header;
}

std::size_t DecodeLength(std::string_view header) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(header[i]);
  }
  return size;
}

}  // namespace

class FrameEndpoint::Impl : public ACE_Event_Handler {
 public:
  Impl(kernel::ReactorTask& task, Handlers handlers)
      : task(task), handlers(std::move(handlers)) {}

  ~Impl() override {
    if (this->acceptor.get_handle() != ACE_INVALID_HANDLE) {
      this->Remove(this);
      this->acceptor.close();
    }
    for (auto& [id, link] : this->links) this->Remove(link.get());
  }

  bool Listen(const Address& address) {
    if (this->acceptor.open(address.ToAce(), 1) != 0) return false;
    this->acceptor.enable(ACE_NONBLOCK);
    this->task.Reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    return true;
  }

  LinkId Connect(const Address& address);
  bool Send(LinkId id, std::string_view bytes);
  void Close(LinkId id);

  ACE_HANDLE get_handle() const override { return this->acceptor.get_handle(); }
  int handle_input(ACE_HANDLE /*handle*/) override;

 private:
  /// One connection.
  class Link : public ACE_Event_Handler {
   public:
    Link(Impl& impl, LinkId id) : impl(impl), id(id) {}
    ~Link() override { this->stream.close(); }

    ACE_HANDLE get_handle() const override { return this->stream.get_handle(); }
    int handle_input(ACE_HANDLE /*handle*/) override {
      this->impl.Read(*this);
      return 0;
    }
    int handle_output(ACE_HANDLE /*handle*/) override {
      this->impl.Flush(*this);
      return 0;
    }

    ACE_SOCK_Stream stream;
    std::string input;
    std::string output;
    std::size_t flushed = 0;
    std::uint64_t sent_bytes = 0;
    bool closing = false;

   private:
    friend class Impl;
    Impl& impl;
    LinkId id;
  };

  void Remove(ACE_Event_Handler* handler) {
    this->task.Reactor().remove_handler(handler,
                                        ACE_Event_Handler::ALL_EVENTS_MASK |
                                            ACE_Event_Handler::ACCEPT_MASK |
                                            ACE_Event_Handler::DONT_CALL);
  }

  void Watch(Link& link) {
    int on = 1;
    link.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    link.stream.set_option(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    this->task.Reactor().register_handler(
        &link, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
  }

  void Read(Link& link);
  bool TakeFrames(Link& link);
  void Flush(Link& link);

  kernel::ReactorTask& task;
  Handlers handlers;
  ACE_SOCK_Acceptor acceptor;
  LinkId last_id = 0;
  std::map<LinkId, std::unique_ptr<Link>> links;
  std::vector<std::unique_ptr<Link>> retired;
};

int FrameEndpoint::Impl::handle_input(ACE_HANDLE /*handle*/) {
  const LinkId id = ++this->last_id;
  auto link = std::make_unique<Link>(*this, id);
  if (this->acceptor.accept(link->stream) != 0) return 0;
  link->stream.enable(ACE_NONBLOCK);
  this->Watch(*link);
  this->links.emplace(id, std::move(link));
  return 0;
}

LinkId FrameEndpoint::Impl::Connect(const Address& address) {
  const LinkId id = ++this->last_id;
  auto link = std::make_unique<Link>(*this, id);
  ACE_SOCK_Connector connector;
  // A zero timeout starts the connection without waiting for it.
  ACE_Time_Value no_wait(0, 0);
  const int result = connector.connect(link->stream, address.ToAce(), &no_wait);
  const bool started = result == 0 || errno == EWOULDBLOCK || errno == ETIME ||
                       errno == EINPROGRESS;
  if (!started || link->stream.get_handle() == ACE_INVALID_HANDLE) {
    this->task.Post([this, id] { this->handlers.on_closed(id, true); });
    return id;
  }
  link->stream.enable(ACE_NONBLOCK);
  this->Watch(*link);
  this->links.emplace(id, std::move(link));
  return id;
}

bool FrameEndpoint::Impl::Send(LinkId id, std::string_view bytes) {
  const auto found = this->links.find(id);
  if (found == this->links.end() || bytes.size() > kMaxFrameBytes) return false;
  Link& link = *found->second;
  if (link.closing || link.output.size() + bytes.size() > kMaxBacklogBytes) {
    return false;
  }
  const bool was_empty = link.output.empty();
  link.output += EncodeLength(bytes.size());
  link.output += bytes;
  if (was_empty) {
    this->task.Reactor().register_handler(
        &link, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
  }
  return true;
}

void FrameEndpoint::Impl::Flush(Link& link) {
  while (link.flushed < link.output.size()) {
    const ssize_t sent = link.stream.send(link.output.data() + link.flushed,
                                          link.output.size() - link.flushed);
    if (sent > 0) {
      link.flushed += static_cast<std::size_t>(sent);
      link.sent_bytes += static_cast<std::uint64_t>(sent);
      continue;
    }
    if (errno == EWOULDBLOCK || errno == EAGAIN) return;
    this->Close(link.id);
    return;
  }
  link.output.clear();
  link.flushed = 0;
  this->task.Reactor().cancel_wakeup(&link, ACE_Event_Handler::WRITE_MASK);
}

void FrameEndpoint::Impl::Read(Link& link) {
  std::array<char, kReadChunkBytes> chunk;  // NOLINT: filled by recv
  while (true) {
    const ssize_t size = link.stream.recv(chunk.data(), chunk.size());
    if (size < 0 && (errno == EWOULDBLOCK || errno == EAGAIN)) return;
    if (size <= 0) {
      this->Close(link.id);
      return;
    }
    link.input.append(chunk.data(), static_cast<std::size_t>(size));
    if (!this->TakeFrames(link)) return;
  }
}

bool FrameEndpoint::Impl::TakeFrames(Link& link) {
  std::size_t taken = 0;
  while (link.input.size() - taken >= kHeaderBytes) {
    const std::string_view rest = std::string_view(link.input).substr(taken);
    const std::size_t size = DecodeLength(rest.substr(0, kHeaderBytes));
    if (size > kMaxFrameBytes) {
      this->Close(link.id);
      return false;
    }
    if (rest.size() < kHeaderBytes + size) break;
    this->handlers.on_frame(link.id, rest.substr(kHeaderBytes, size));
    if (link.closing) return false;
    taken += kHeaderBytes + size;
  }
  link.input.erase(0, taken);
  return true;
}

void FrameEndpoint::Impl::Close(LinkId id) {
  const auto found = this->links.find(id);
  if (found == this->links.end()) return;
  found->second->closing = true;
  this->Remove(found->second.get());
  found->second->stream.close();
  const bool nothing_sent = found->second->sent_bytes == 0;
  // The link may be on the stack: it is freed by a later message.
  this->retired.push_back(std::move(found->second));
  this->links.erase(found);
  this->task.Post([this, id, nothing_sent] {
    this->retired.clear();
    this->handlers.on_closed(id, nothing_sent);
  });
}

FrameEndpoint::FrameEndpoint(kernel::ReactorTask& task, Handlers handlers)
    : impl(std::make_unique<Impl>(task, std::move(handlers))) {}

FrameEndpoint::~FrameEndpoint() = default;

kernel::Result<void> FrameEndpoint::Listen(const Address& address) {
  if (this->impl->Listen(address)) return kernel::Ok();
  return kernel::Fail(kernel::ErrorKind::kSettingInvalid,
                      "cannot bind TCP " + address.ToString());
}

LinkId FrameEndpoint::Connect(const Address& address) {
  return this->impl->Connect(address);
}

bool FrameEndpoint::Send(LinkId link, std::string_view bytes) {
  return this->impl->Send(link, bytes);
}

void FrameEndpoint::Close(LinkId link) { this->impl->Close(link); }

}  // namespace chervilmux::net
