#include "net/server_links.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "net/message_reader.h"
#include "net/output_queue.h"
#include "net/tcp.h"
#include "observe/log.h"

namespace chervilmux::net {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

constexpr std::size_t kReadChunk = 16U << 10U;
/// A connection that is not open by then is given up; another server can be
/// tried. Far above the round trip between failure domains (3 ms) and below the
/// kernel's first repeat of a lost opening packet (1 s).
constexpr Duration kConnectTimeout = milliseconds(250);
/// An idle connection is used for this long when the server does not say.
constexpr Duration kDefaultIdleTime = milliseconds(8000);
/// The server's clock and the way there: an idle connection is given up this
/// much earlier than the server says.
constexpr Duration kIdleMargin = milliseconds(500);
/// A request that must not be repeated takes only a connection that was used
/// this recently, as one that silently died would leave its outcome unknown.
constexpr Duration kFreshEnough = milliseconds(2000);
/// A server's own answer at the deadline may still arrive for this long.
constexpr Duration kAnswerGrace = milliseconds(40);

/// An answer of up to this size is read in any case. Beyond the answers of
/// usual routes, so that only large ones wait.
constexpr std::size_t kPacedBytes = 64U << 10U;

/// Limit on the bytes of all unfinished answers until one is set.
constexpr std::size_t kDefaultMaxBufferedBytes = 128U << 20U;

/// How long an idle connection may be used after `answer`.
Duration IdleTime(const HttpAnswer& answer) {
  const std::string_view header = FindHeader(answer.headers, "keep-alive");
  constexpr std::string_view kName = "timeout=";
  const auto at = header.find(kName);
  if (at == std::string_view::npos) return kDefaultIdleTime;
  long whole_seconds = 0;
  const std::string_view digits = header.substr(at + kName.size());
  const auto parsed = std::from_chars(
      digits.data(), digits.data() + digits.size(), whole_seconds);
  if (parsed.ec != std::errc()) return kDefaultIdleTime;
  return kernel::seconds(std::clamp(whole_seconds, 0L, 60L)) - kIdleMargin;
}

/// The bytes of `request` on the wire before its body, with its framing.
std::string EncodeRequestHead(const HttpRequest& request) {
  std::string bytes = request.method + " " + request.url + " HTTP/1.1\r\n";
  for (const auto& header : request.headers) {
    if (SameHeaderName(header.name, "content-length")) continue;
    bytes += header.name + ": " + header.value + "\r\n";
  }
  const bool may_lack_body = request.method == "GET" ||
                             request.method == "HEAD" ||
                             request.method == "DELETE";
  if (!request.body.empty() || !may_lack_body) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  return bytes;
}

}  // namespace

class ServerLinks::Impl {
 public:
  class Link;

  explicit Impl(kernel::ReactorTask& task) : task(task) {}

  TransferId Start(Exchange exchange);
  void Cancel(TransferId id);
  void EndAll();
  void CloseIdle(const Address& address);
  void CheckTime(Instant now);
  /// A copy, for work that may end connections. Those that end stay valid until
  /// the next message.
  std::vector<Link*> AllLinks() const;

  void Finish(Link& link, TransferResult result, bool reusable);
  void Retire(Link& link);
  /// Gives up the largest unfinished answers while all together exceed the
  /// limit.
  void LimitBufferedBytes();
  /// Whether the rest of the answer is left unread for now.
  bool MustWait(const Link& link) const;

  kernel::ReactorTask& task;
  TransferId last_id = 0;
  std::uint64_t opened = 0;
  std::size_t max_buffered_bytes = kDefaultMaxBufferedBytes;
  std::size_t read_limit = kDefaultMaxBufferedBytes;
  std::size_t buffered_bytes = 0;  ///< Over all connections.
  std::map<Link*, std::unique_ptr<Link>> links;
  std::map<TransferId, Link*> busy;
  std::map<Address, std::vector<Link*>> idle;
  /// Shared with the message that clears it, which may outlive the links.
  std::shared_ptr<std::vector<std::unique_ptr<Link>>> closed =
      std::make_shared<std::vector<std::unique_ptr<Link>>>();

 private:
  Link* TakeIdle(const Exchange& exchange, Instant now);
};

/// One connection and the request on it.
class ServerLinks::Impl::Link : public ACE_Event_Handler {
 public:
  Link(Impl& owner, const Address& address) : owner(owner), address(address) {}
  ~Link() override { this->Close(); }

  /// Begins to connect. Returns false when that fails at once.
  bool Open(Instant now) {
    ACE_SOCK_Connector connector;
    const ACE_Time_Value no_wait = ACE_Time_Value::zero;
    const int status =
        connector.connect(this->stream, this->address.ToAce(), &no_wait);
    if (status != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
      return false;
    }
    TuneConnection(this->stream.get_handle());
    this->connecting = true;
    this->connect_deadline = now + kConnectTimeout;
    this->owner.task.Reactor().register_handler(
        this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
    return true;
  }

  void Begin(TransferId new_id, Exchange new_exchange) {
    this->id = new_id;
    this->exchange = std::move(new_exchange);
    this->FillOutput();
    this->sent_bytes = 0;
    this->reader.emplace(this->exchange->request.method == "HEAD",
                         this->exchange->max_answer_bytes);
    if (!this->connecting) this->Flush();
  }

  ACE_HANDLE get_handle() const override { return this->stream.get_handle(); }

  int handle_output(ACE_HANDLE /*handle*/) override {
    if (this->retired) return 0;
    if (this->connecting && !this->FinishConnect()) return 0;
    this->Flush();
    return 0;
  }

  int handle_input(ACE_HANDLE /*handle*/) override {
    if (this->retired) return 0;
    if (this->connecting && !this->FinishConnect()) return 0;
    std::array<char, kReadChunk> chunk;
    const ssize_t got =
        recv(this->stream.get_handle(), chunk.data(), chunk.size(), 0);
    if (got < 0 && (errno == EWOULDBLOCK || errno == EINTR)) return 0;
    if (!this->exchange) {
      // Bytes on an idle connection belong to no request.
      if (got > 0) {
        observe::LogWarn("stray_bytes",
                         {{"server_address", this->address.ToString()}});
      }
      this->owner.Retire(*this);
    } else if (got < 0) {
      this->Fail(this->reader->Started() ? TransferEnd::kTruncated
                                         : TransferEnd::kBroken);
    } else if (got == 0) {
      this->OnEnd();
    } else {
      this->OnBytes({chunk.data(), static_cast<std::size_t>(got)});
    }
    return 0;
  }

  /// The reactor gave the descriptor up, as it does after a socket error.
  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override {
    if (this->retired) return 0;
    if (this->exchange) {
      this->Fail(TransferEnd::kBroken);
    } else {
      this->owner.Retire(*this);
    }
    return 0;
  }

  void CheckTime(Instant now) {
    if (!this->exchange) {
      if (now >= this->idle_until) this->owner.Retire(*this);
    } else if (this->connecting && now >= this->connect_deadline) {
      // What has arrived counts, not what an instance that is behind has seen.
      if (this->IsConnected()) {
        this->handle_output(this->get_handle());
      } else {
        this->Fail(TransferEnd::kNotSent);
      }
    } else if (now >= this->exchange->deadline + kAnswerGrace) {
      this->TimeOut();
    } else if (this->paused) {
      this->PaceReading();
    }
  }

  /// Ends the transfer; a whole answer that has arrived counts.
  void TimeOut() {
    if (!this->exchange) return;
    this->ReadArrived();
    if (this->exchange) this->Fail(TransferEnd::kTimedOut);
  }

  void Close() {
    this->retired = true;
    if (this->stream.get_handle() == ACE_INVALID_HANDLE) return;
    this->owner.task.Reactor().remove_handler(
        this,
        ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    this->stream.close();
  }

  /// Makes Close() reset the connection: bytes that a partition holds up are
  /// dropped, instead of reaching the server when it heals, perhaps seconds
  /// after the request was given up.
  void ResetOnClose() {
    const linger at_once{1, 0};
    if (setsockopt(this->stream.get_handle(), SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof(at_once)) != 0) {
      observe::LogWarn("socket_option_refused",
                       {{"server_address", this->address.ToString()}});
    }
  }

  /// Bytes of memory that hold the unfinished answer.
  std::size_t BufferedBytes() const { return this->buffered_bytes; }

  /// Whether its answer may wait for others. One to a request that must not be
  /// repeated may not: its server could cut it off.
  bool MayWait() const {
    return this->exchange && this->exchange->may_repeat &&
           this->buffered_bytes > kPacedBytes;
  }

  /// Brings what the owner counts up to date. Call when the answer has grown or
  /// is not kept any more.
  void CountBuffered() {
    const std::size_t bytes =
        this->exchange && this->reader ? this->reader->HeldBytes() : 0;
    this->owner.buffered_bytes += bytes - this->buffered_bytes;
    this->buffered_bytes = bytes;
  }

  /// Ends with the exchange what was kept for it.
  void EndExchange() {
    this->exchange.reset();
    this->reader.reset();
    this->CountBuffered();
    if (this->paused) this->PaceReading();
  }

  void GiveUpAnswer() { this->Fail(TransferEnd::kTooLarge); }

  /// Whether the peer has neither closed nor sent anything while idle.
  bool StillQuiet() const {
    char byte = 0;
    const ssize_t got =
        recv(this->stream.get_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno == EWOULDBLOCK;
  }

  Impl& owner;
  Address address;
  TransferId id = 0;
  std::optional<Exchange> exchange;
  Instant idle_since;
  Instant idle_until;
  bool reused = false;

 private:
  /// Takes over the body of the request, which would need twice the memory.
  void FillOutput() {
    HttpRequest& request = this->exchange->request;
    this->output.Clear();
    this->output.Append(EncodeRequestHead(request));
    this->output.Append(std::move(request.body));
    request.body.clear();
  }

  bool IsConnected() const {
    pollfd writable{this->stream.get_handle(), POLLOUT, 0};
    return poll(&writable, 1, 0) == 1 && (writable.revents & POLLOUT) != 0 &&
           (writable.revents & (POLLERR | POLLHUP)) == 0;
  }

  /// Reads the bytes that are there now, until the answer is whole.
  void ReadArrived() {
    if (this->connecting) return;
    int arrived = 0;
    if (ioctl(this->stream.get_handle(), FIONREAD, &arrived) != 0) return;
    for (; arrived > 0 && this->exchange; arrived -= int{kReadChunk})
      this->handle_input(this->get_handle());
    // The end of the connection counts no bytes.
    if (this->exchange) this->handle_input(this->get_handle());
  }

  bool FinishConnect() {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->stream.get_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      this->Fail(TransferEnd::kNotSent);
      return false;
    }
    this->connecting = false;
    if (this->exchange->is_wanted && !this->exchange->is_wanted()) {
      this->Fail(TransferEnd::kCancelled);
      return false;
    }
    if (this->exchange->may_send && !this->exchange->may_send()) {
      this->Fail(TransferEnd::kWithheld);
      return false;
    }
    return this->IsStillTimely(kernel::Now());
  }

  /// Whether the request may be sent although opening the connection took until
  /// `now`. Renews it if need be; ends the transfer if not.
  bool IsStillTimely(Instant now) {
    if (now < this->connect_deadline) return true;
    if (now >= this->exchange->deadline || !this->exchange->renew) {
      this->Fail(TransferEnd::kNotSent);
      return false;
    }
    this->output.Clear();
    this->exchange->request = this->exchange->renew();
    this->FillOutput();
    return true;
  }

  void Flush() {
    while (!this->output.IsEmpty()) {
      const std::string_view next = this->output.Next();
      const ssize_t sent = send(this->stream.get_handle(), next.data(),
                                next.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent < 0 && errno == EWOULDBLOCK) {
        this->output_watch.Set(true);
        return;
      }
      if (sent < 0) {
        // An answer may have arrived before the connection failed.
        if (this->sent_bytes > 0) {
          this->output.Clear();
          this->write_failed = true;
          break;
        }
        this->Fail(TransferEnd::kNotSent);
        return;
      }
      this->sent_bytes += static_cast<std::size_t>(sent);
      this->output.Consume(static_cast<std::size_t>(sent));
    }
    this->output_watch.Set(false);
  }

  void OnBytes(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto state = this->reader->Append(bytes);
      if (state == ReadState::kInvalid) {
        this->Fail(this->reader->TooLarge() ? TransferEnd::kTooLarge
                                            : TransferEnd::kTruncated);
        return;
      }
      if (state == ReadState::kNeedMore) break;
      bytes.remove_prefix(this->reader->Used());
      if (this->OnAnswer(!bytes.empty())) return;
    }
    this->CountBuffered();
    this->owner.LimitBufferedBytes();
    this->PaceReading();
  }

  /// Stops or resumes reading. What is not read makes its server wait.
  void PaceReading() {
    if (this->retired || this->connecting) return;
    this->paused = this->exchange && this->owner.MustWait(*this);
    this->input_watch.Set(!this->paused);
  }

  /// Takes a whole answer. Returns false when it belongs to another request.
  bool OnAnswer(bool extra_bytes) {
    const bool keep_alive = this->reader->KeepAlive();
    HttpAnswer answer = this->reader->Take();
    if (this->exchange->belongs && !this->exchange->belongs(answer)) {
      observe::LogWarn("foreign_answer",
                       {{"server_address", this->address.ToString()}});
      this->tainted = true;
      this->reader.emplace(this->exchange->request.method == "HEAD",
                           this->exchange->max_answer_bytes);
      return false;
    }
    const bool reusable = keep_alive && !extra_bytes && !this->tainted &&
                          !this->write_failed && this->output.IsEmpty();
    TransferResult result;
    result.end = TransferEnd::kComplete;
    result.possibly_sent = true;
    result.reused_connection = this->reused;
    this->idle_since = kernel::Now();
    this->idle_until = this->idle_since +
                       std::chrono::duration_cast<Duration>(
                           IdleTime(answer) * this->exchange->idle_time_factor);
    result.answer = std::move(answer);
    this->owner.Finish(*this, std::move(result), reusable);
    return true;
  }

  void OnEnd() {
    // After an error in sending, the end of what can be read is no orderly end:
    // the error was told once, when sending met it.
    if (!this->write_failed && this->reader->OnEnd() == ReadState::kComplete &&
        !this->tainted) {
      if (this->OnAnswer(true)) return;
    }
    this->Fail(this->reader->Started() ? TransferEnd::kTruncated
                                       : TransferEnd::kBroken);
  }

  void Fail(TransferEnd end) {
    this->ResetOnClose();
    TransferResult result;
    result.possibly_sent = this->sent_bytes > 0;
    const bool is_exact = result.possibly_sent ||
                          end == TransferEnd::kCancelled ||
                          end == TransferEnd::kWithheld;
    result.end = is_exact ? end : TransferEnd::kNotSent;
    result.reused_connection = this->reused;
    result.connected = !this->connecting;
    this->owner.Finish(*this, std::move(result), false);
  }

  ACE_SOCK_Stream stream;
  std::optional<AnswerReader> reader;
  std::size_t buffered_bytes = 0;
  OutputQueue output;
  std::size_t sent_bytes = 0;
  Instant connect_deadline;
  bool connecting = false;
  EventWatch output_watch{this->owner.task.Reactor(), *this,
                          ACE_Event_Handler::WRITE_MASK, true};
  EventWatch input_watch{this->owner.task.Reactor(), *this,
                         ACE_Event_Handler::READ_MASK, true};
  bool paused = false;  ///< The answer is not read for now.
  bool write_failed = false;
  bool tainted = false;  ///< Carried an answer of another request.
  bool retired = false;
};

TransferId ServerLinks::Impl::Start(Exchange exchange) {
  const Instant now = kernel::Now();
  const TransferId id = ++this->last_id;
  Link* link =
      exchange.fresh_connection ? nullptr : this->TakeIdle(exchange, now);
  if (link != nullptr) {
    link->reused = true;
  } else {
    auto fresh = std::make_unique<Link>(*this, exchange.address);
    link = fresh.get();
    if (!link->Open(now)) {
      this->task.Post([done = std::move(exchange.done)] { done({}); });
      return id;
    }
    this->opened += 1;
    this->links[link] = std::move(fresh);
  }
  this->busy[id] = link;
  link->Begin(id, std::move(exchange));
  return id;
}

ServerLinks::Impl::Link* ServerLinks::Impl::TakeIdle(const Exchange& exchange,
                                                     Instant now) {
  auto& candidates = this->idle[exchange.address];
  while (!candidates.empty()) {
    // The one used last is the least likely to have died.
    Link* link = candidates.back();
    const bool fresh = now - link->idle_since < kFreshEnough;
    if (!exchange.may_repeat && !fresh && now < link->idle_until) {
      return nullptr;
    }
    if (now >= link->idle_until || !link->StillQuiet()) {
      this->Retire(*link);
      continue;
    }
    candidates.pop_back();
    return link;
  }
  return nullptr;
}

void ServerLinks::Impl::Finish(Link& link, TransferResult result,
                               bool reusable) {
  this->busy.erase(link.id);
  TransferDone done = std::move(link.exchange->done);
  const std::size_t max_idle = link.exchange->max_idle;
  link.EndExchange();
  if (reusable) {
    auto& pool = this->idle[link.address];
    pool.push_back(&link);
    while (pool.size() > max_idle) this->Retire(*pool.front());
  } else {
    this->Retire(link);
  }
  // Later, so that the caller of Start() knows the id by then.
  this->task.Post(
      [done = std::move(done), result = std::move(result)]() mutable {
        done(std::move(result));
      });
}

void ServerLinks::Impl::Retire(Link& link) {
  const auto pool = this->idle.find(link.address);
  if (pool != this->idle.end()) std::erase(pool->second, &link);
  link.Close();
  const auto found = this->links.find(&link);
  if (found == this->links.end()) return;
  // The link may be on the call stack, so that it is destroyed later.
  if (this->closed->empty()) {
    this->task.Post([list = this->closed] { list->clear(); });
  }
  this->closed->push_back(std::move(found->second));
  this->links.erase(found);
}

void ServerLinks::Impl::LimitBufferedBytes() {
  while (this->buffered_bytes > this->max_buffered_bytes) {
    const auto largest = std::ranges::max_element(
        this->busy, {},
        [](const auto& entry) { return entry.second->BufferedBytes(); });
    Link& link = *largest->second;
    observe::LogWarn("answer_given_up",
                     {{"server_address", link.address.ToString()},
                      {"bytes", std::to_string(link.BufferedBytes())},
                      {"buffered", std::to_string(this->buffered_bytes)}});
    link.GiveUpAnswer();
  }
}

bool ServerLinks::Impl::MustWait(const Link& link) const {
  if (this->buffered_bytes <= this->read_limit || !link.MayWait()) return false;
  // Transfers are in the order of their starts.
  const auto oldest = std::ranges::find_if(
      this->busy, [](const auto& entry) { return entry.second->MayWait(); });
  return oldest != this->busy.end() && oldest->second != &link;
}

void ServerLinks::Impl::Cancel(TransferId id) {
  const auto found = this->busy.find(id);
  if (found == this->busy.end()) return;
  Link& link = *found->second;
  this->busy.erase(found);
  link.EndExchange();
  link.ResetOnClose();
  this->Retire(link);
}

void ServerLinks::Impl::CloseIdle(const Address& address) {
  const auto pool = this->idle.find(address);
  if (pool == this->idle.end()) return;
  const std::vector<Link*> stale = std::move(pool->second);
  this->idle.erase(pool);
  for (Link* link : stale) this->Retire(*link);
}

std::vector<ServerLinks::Impl::Link*> ServerLinks::Impl::AllLinks() const {
  std::vector<Link*> all;
  all.reserve(this->links.size());
  for (const auto& [link, owned] : this->links) all.push_back(link);
  return all;
}

void ServerLinks::Impl::CheckTime(Instant now) {
  for (Link* link : this->AllLinks()) link->CheckTime(now);
}

void ServerLinks::Impl::EndAll() {
  for (Link* link : this->AllLinks()) link->TimeOut();
}

ServerLinks::ServerLinks(kernel::ReactorTask& task)
    : impl(std::make_unique<Impl>(task)) {}
ServerLinks::~ServerLinks() = default;

TransferId ServerLinks::Start(Exchange exchange) {
  return this->impl->Start(std::move(exchange));
}
void ServerLinks::Cancel(TransferId id) { this->impl->Cancel(id); }
void ServerLinks::EndAll() { this->impl->EndAll(); }
void ServerLinks::CloseIdle(const Address& address) {
  this->impl->CloseIdle(address);
}
void ServerLinks::CheckTime(Instant now) { this->impl->CheckTime(now); }
void ServerLinks::SetMaxBufferedBytes(std::size_t limit) {
  this->impl->max_buffered_bytes = limit;
}
void ServerLinks::SetReadLimit(std::size_t limit) {
  this->impl->read_limit = limit;
}
std::size_t ServerLinks::BufferedBytes() const {
  return this->impl->buffered_bytes;
}
std::size_t ServerLinks::OpenTo(const Address& address) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->impl->links, [&address](const auto& entry) {
        return entry.first->address == address;
      }));
}
std::uint64_t ServerLinks::Opened() const { return this->impl->opened; }

}  // namespace chervilmux::net
