#include "net/http_front.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <http_parser.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "net/output_queue.h"
#include "net/tcp.h"
#include "observe/log.h"

namespace chervilmux::net {
namespace {

using kernel::Instant;

constexpr std::size_t kReadChunk = 16U << 10U;
/// Requests read ahead on one connection; more wait in the socket.
constexpr std::size_t kMaxPipelined = 32;
/// While a caller has not taken this much of its answers, the requests that it
/// sent behind them are left unread. Above the answers of usual routes, so that
/// callers who read are not held up.
constexpr std::size_t kMaxUnsentAhead = 1U << 20U;
/// A body is charged with this many times its size.
constexpr std::size_t kBodyCopies = 2;
/// A large body of unknown size is charged in steps for this many more bytes.
constexpr std::size_t kBodyGrowth = 64U << 10U;
static_assert(kBodyGrowth > kReadChunk);
/// How often time limits are checked.
constexpr kernel::Duration kSweepPeriod = kernel::milliseconds(200);
/// How long a closed connection still takes in bytes of its caller. Closing
/// with unread bytes would reset it and could destroy the last answer.
constexpr kernel::Duration kLingerTime = kernel::seconds(2);
constexpr int kListenBacklog = 1024;
/// After a stop a connection is closed when it has been idle for this long: the
/// request of one that has just been accepted may be on its way.
constexpr kernel::Duration kStopIdleTime = kernel::milliseconds(300);
/// One in so many connections is closed at a time to make room.
constexpr std::size_t kClosedTogether = 50;

/// One request whose answer is due, in the order of arrival.
struct Slot {
  std::uint64_t sequence = 0;
  bool to_head = false;
  bool wants_close = false;
  bool answered = false;
  std::size_t body_bytes = 0;  ///< Of the request, until it is answered.
  HttpAnswer answer;
};

}  // namespace

namespace {

bool HasBody(const HttpAnswer& answer, bool without_body) {
  const bool never_has_body = answer.status == 204 || answer.status == 304;
  return !without_body && !never_has_body;
}

std::string EncodeAnswerHead(const HttpAnswer& answer, bool without_body,
                             bool close) {
  std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  bytes += http_status_str(static_cast<http_status>(answer.status));
  bytes += "\r\n";
  for (const auto& header : answer.headers) {
    if (!without_body && SameHeaderName(header.name, "content-length")) {
      continue;
    }
    bytes += header.name + ": " + header.value + "\r\n";
  }
  if (HasBody(answer, without_body)) {
    bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  }
  if (close) bytes += "Connection: close\r\n";
  bytes += "\r\n";
  return bytes;
}

}  // namespace

std::string EncodeAnswer(const HttpAnswer& answer, bool without_body,
                         bool close) {
  std::string bytes = EncodeAnswerHead(answer, without_body, close);
  if (HasBody(answer, without_body)) bytes += answer.body;
  return bytes;
}

std::string_view NameOf(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kIdle:
      return "idle";
    case ConnectionEnd::kStop:
      return "stop";
    case ConnectionEnd::kRoom:
      return "room";
    case ConnectionEnd::kAnswered:
      return "answered";
    case ConnectionEnd::kCallerClosed:
      return "caller-closed";
    case ConnectionEnd::kUnreachable:
      return "unreachable";
    case ConnectionEnd::kUnsent:
      return "unsent";
  }
  return "";
}

class HttpFront::Impl {
 public:
  class Connection;
  class Acceptor;

  Impl(kernel::ReactorTask& task, FrontEvents events)
      : task(task),
        events(std::move(events)),
        sweep(task.Reactor(), [this] { this->Sweep(); }) {
    this->sweep.SetEvery(kSweepPeriod);
  }

  void Bury(std::uint64_t id);
  void Sweep();
  bool HasRoom() const {
    return this->connections.size() < this->limits.max_connections;
  }
  void CloseIdlest();
  /// A copy, for work that may end connections. Those that end stay valid until
  /// the next message.
  std::vector<Connection*> AllConnections() const;
  /// Does so in a message: the owner hears of ended connections, and may be
  /// giving an answer now.
  void LimitUnsentBytesSoon();
  /// Ends other bodies as far as the demand requires it.
  BodyStep Decide(const BodyDemand& demand);
  void LimitUnsentBytes();

  kernel::ReactorTask& task;
  FrontEvents events;
  FrontLimits limits;
  bool close_after_answers = false;
  bool stopped = false;
  std::uint64_t last_id = 0;
  std::size_t pending = 0;
  std::size_t unsent = 0;   ///< Bytes of answers, over all connections.
  std::size_t charged = 0;  ///< For requests, over all connections.
  std::size_t charged_whole_large = 0;  ///< For large ones that are whole.
  /// Connections whose large bodies are being read.
  std::map<std::uint64_t, Connection*> large_bodies;
  std::unique_ptr<Acceptor> acceptor;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
  /// Shared with the message that clears it, which may outlive the server.
  std::shared_ptr<std::vector<std::unique_ptr<Connection>>> closed =
      std::make_shared<std::vector<std::unique_ptr<Connection>>>();
  /// Expires with the server, for messages that may outlive it.
  std::shared_ptr<char> alive = std::make_shared<char>();
  bool will_limit = false;  ///< The message is on its way.
  kernel::Timer sweep;
  Instant next_sweep = kernel::Now() + kSweepPeriod;
  kernel::Duration behind{};
};

class HttpFront::Impl::Connection : public ACE_Event_Handler {
 public:
  Connection(Impl& owner, std::uint64_t id, ACE_HANDLE handle)
      : owner(owner),
        id(id),
        stream(handle),
        reader(owner.limits.read),
        taken_at(kernel::Now()),
        idle_since(this->taken_at),
        idle_until(this->idle_since + owner.limits.idle_timeout) {
    TuneConnection(handle, kCallerUnacknowledgedLimit);
    this->owner.task.Reactor().register_handler(this,
                                                ACE_Event_Handler::READ_MASK);
  }

  ~Connection() override { this->Close(); }

  ACE_HANDLE get_handle() const override { return this->stream.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    if (this->retired || this->paused) return 0;
    std::array<char, kReadChunk> chunk;
    const ssize_t got =
        recv(this->stream.get_handle(), chunk.data(), chunk.size(), 0);
    if (got < 0 && (errno == EWOULDBLOCK || errno == EINTR)) return 0;
    if (got <= 0) {
      this->Abandon(EndOf(got));
      return 0;
    }
    // Nothing behind the last request is read any more.
    if (this->lingering || this->ending) return 0;
    this->progressed_at = kernel::Now();
    if (!this->reader.InMessage()) {
      this->begun_at = this->progressed_at;
      this->request_deadline =
          this->begun_at + this->owner.limits.request_timeout;
    }
    // An instance that is behind reads the request and the close together.
    this->caller_left = this->HasCallerLeft();
    this->reader.Append({chunk.data(), static_cast<std::size_t>(got)});
    this->ReadRequests();
    this->LimitInput();
    return 0;
  }

  int handle_output(ACE_HANDLE /*handle*/) override {
    if (this->retired) return 0;
    this->Flush();
    if (this->retired) return 0;
    this->ReadRequests();
    this->LimitInput();
    return 0;
  }

  void Answer(std::uint64_t sequence, HttpAnswer answer) {
    for (auto& slot : this->slots) {
      if (slot.sequence != sequence || slot.answered) continue;
      slot.answered = true;
      slot.body_bytes = 0;
      slot.answer = std::move(answer);
      this->owner.pending -= 1;
      this->CountCharges();
      this->WriteAnswers();
      return;
    }
  }

  /// Closes what is idle or over its time.
  void CheckTime(Instant now) {
    if (this->retired) return;
    if (this->lingering) {
      if (now >= this->linger_until) this->owner.Bury(this->id);
      return;
    }
    this->ResumeBody();
    if (this->retired || !this->IsOverTime(now)) return;
    // What has arrived counts, not what an instance that is behind has read.
    this->ReadArrived();
    if (this->retired || this->lingering || !this->IsOverTime(now)) return;
    if (this->paused) {
      this->Refuse({kernel::ErrorKind::kMemoryShort,
                    "no memory for the rest of the body"});
    } else if (this->reader.InMessage()) {
      this->Refuse({kernel::ErrorKind::kRequestTimeout,
                    "the request took too long to arrive"});
    } else {
      this->CloseIdle(now >= this->idle_until ? ConnectionEnd::kIdle
                                              : ConnectionEnd::kStop);
    }
  }

  /// Ends the connection where nothing but a part of a request, or not even
  /// that, has arrived.
  void EndPartialRequest(const kernel::Error& error) {
    if (this->retired || this->lingering || this->ending) return;
    this->ReadArrived();
    if (this->retired || this->lingering || this->ending) return;
    if (!this->slots.empty() || !this->output.IsEmpty()) return;
    if (this->reader.InMessage()) {
      this->Refuse(error);
    } else {
      this->CloseIdle(ConnectionEnd::kStop);
    }
  }

  bool IsIdle() const {
    return this->slots.empty() && this->output.IsEmpty() && !this->ending &&
           !this->reader.InMessage();
  }
  Instant IdleUntil() const { return this->idle_until; }
  /// Bytes that have arrived and were not read yet.
  std::size_t UnreadBytes() const {
    int bytes = 0;
    const bool known =
        ioctl(this->stream.get_handle(), FIONREAD, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
  }
  /// Closes at once, so that what still arrives resets the connection and its
  /// caller knows that it was not read. Lingers while the last answer may be on
  /// its way, which a reset could destroy.
  void CloseIdle(ConnectionEnd end) {
    if (end != ConnectionEnd::kIdle && !this->IsDelivered()) {
      this->BeginLinger(end);
      return;
    }
    this->TellEnd(end);
    this->owner.Bury(this->id);
  }
  std::size_t BufferedBytes() const {
    std::size_t bytes = this->reader.BufferedBytes();
    for (const auto& slot : this->slots) bytes += slot.body_bytes;
    return bytes;
  }
  /// The large body that is being read. Only where the owner has it listed.
  BodyInProgress Body() const {
    BodyInProgress body;
    body.connection = this->id;
    body.charge = this->partial_charge;
    body.received = this->reader.Body().value_or(BodyProgress()).received;
    body.begun = this->begun_at;
    body.progressed_at = this->progressed_at;
    body.paused = this->paused;
    return body;
  }
  /// Refuses the request whose body is being read, to the benefit of others.
  void EndBody() {
    this->Refuse({kernel::ErrorKind::kMemoryShort,
                  "ended for other requests: its body made the least progress "
                  "for the memory that it held"});
  }
  std::size_t UnsentBytes() const { return this->unsent; }
  /// Whether its answers should be given up before those of `other`. One that
  /// has nothing to take yet isn't to blame.
  bool TookNothingLongerThan(const Connection& other) const {
    return std::tuple(this->output.IsEmpty(), this->taken_at) <
           std::tuple(other.output.IsEmpty(), other.taken_at);
  }
  /// Ends in the middle of an answer, so that its caller sees it cut off.
  void GiveUpAnswers() { this->Abandon(ConnectionEnd::kUnsent); }

  void SetLimits(const FrontLimits& limits) {
    this->reader.SetLimits(limits.read);
    // A caller may go by the longer of the two limits.
    this->idle_until =
        std::max(this->idle_until, this->idle_since + limits.idle_timeout);
  }

  /// Leaves the reactor and closes; the object may still be on the call stack.
  void Retire() {
    this->retired = true;
    this->ForgetUnsent();
    this->ForgetCharges();
    this->Close();
  }

  /// Whether the caller has closed and everything that it sent has been read.
  bool HasCallerLeft() const {
    char byte = 0;
    const ssize_t got =
        recv(this->stream.get_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EWOULDBLOCK && errno != EINTR);
  }

 private:
  void ReadRequests() {
    if (this->reading) return;
    this->reading = true;
    while (this->ReadRequest()) {
    }
    this->reading = false;
  }

  /// Whether requests that the caller sent ahead are left in the buffer.
  bool HoldsBack() const {
    // After a stop what comes behind pending requests stays unread, or a caller
    // that always sends ahead would keep its connection to the end.
    const bool stays_unread = this->owner.stopped && !this->slots.empty();
    return stays_unread || this->slots.size() >= kMaxPipelined ||
           this->output.Size() >= kMaxUnsentAhead;
  }

  /// Takes no more bytes from a caller that has sent far ahead until some of
  /// its requests are answered.
  void LimitInput() {
    if (this->retired) return;
    const bool full =
        this->HoldsBack() && !this->ending &&
        this->reader.BufferedBytes() >= this->owner.limits.read.max_head_bytes;
    this->input_watch.Set(!full && !this->paused);
  }

  /// Returns whether another request may be waiting in the buffer.
  bool ReadRequest() {
    if (this->retired || this->ending || this->HoldsBack()) return false;
    const auto state = this->reader.Advance();
    if (this->reader.TakeExpectsContinue() && this->slots.empty()) {
      if (!this->ChargeBody()) return false;
      this->output.Append("HTTP/1.1 100 Continue\r\n\r\n");
      this->Flush();
    }
    if (state == ReadState::kNeedMore) {
      this->ChargeBody();
      return false;
    }
    if (state == ReadState::kInvalid) {
      this->Refuse(this->reader.Refusal());
      return false;
    }
    if (this->caller_left) {
      this->Abandon(ConnectionEnd::kCallerClosed);
      return false;
    }
    this->OnRequest(this->reader.Take());
    return true;
  }

  /// Whether the body that is being read may be read on. Otherwise it has been
  /// refused, or is not read for now.
  bool ChargeBody() {
    const auto body = this->reader.Body();
    if (!body || this->ending) return true;
    BodyDemand demand;
    demand.connection = this->id;
    demand.is_short =
        body->announced.value_or(body->received) <= kShortBodyBytes;
    demand.is_new = !this->is_listed;
    // Before the next look at least one more chunk is read.
    std::size_t due = kBodyCopies * (body->received + kReadChunk);
    std::size_t charge = kBodyCopies * (body->received + kBodyGrowth);
    if (demand.is_short) charge = due;
    if (body->announced) due = charge = kBodyCopies * *body->announced;
    if (due <= this->partial_charge) return true;
    demand.bytes = charge - this->partial_charge;
    const auto step = this->owner.Decide(demand);
    if (step == BodyStep::kRefuse) {
      this->Refuse({kernel::ErrorKind::kMemoryShort,
                    demand.is_new ? "no memory for a body of this size"
                                  : "no memory for the rest of the body"});
      return false;
    }
    this->paused = step == BodyStep::kPause;
    if (this->paused) return false;
    this->partial_charge = charge;
    if (!demand.is_short && !this->is_listed) {
      this->is_listed = true;
      this->owner.large_bodies[this->id] = this;
    }
    this->CountCharges();
    return true;
  }

  void ResumeBody() {
    if (!this->paused) return;
    this->paused = false;
    // The time while nothing was read does not count as a stall.
    if (this->ChargeBody()) this->progressed_at = kernel::Now();
    if (!this->retired) this->LimitInput();
  }

  /// The body that was being read is whole or given up.
  void ReleaseBody() {
    if (this->is_listed) this->owner.large_bodies.erase(this->id);
    this->is_listed = false;
    this->paused = false;
    this->partial_charge = 0;
  }

  /// Brings what the owner counts up to date.
  void CountCharges() {
    std::size_t whole = 0;
    std::size_t whole_large = 0;
    for (const auto& slot : this->slots) {
      const std::size_t charge = kBodyCopies * slot.body_bytes;
      whole += charge;
      if (slot.body_bytes > kShortBodyBytes) whole_large += charge;
    }
    const std::size_t all = this->partial_charge + whole;
    this->owner.charged += all - this->charged;
    this->owner.charged_whole_large += whole_large - this->charged_whole_large;
    this->charged = all;
    this->charged_whole_large = whole_large;
  }

  /// What the connection is charged with counts no longer: it ends.
  void ForgetCharges() {
    this->ReleaseBody();
    this->owner.charged -= this->charged;
    this->owner.charged_whole_large -= this->charged_whole_large;
    this->charged = 0;
    this->charged_whole_large = 0;
  }

  void OnRequest(HttpRequest request) {
    Slot& slot = this->slots.emplace_back();
    slot.sequence = ++this->last_sequence;
    slot.to_head = request.method == "HEAD";
    slot.wants_close =
        SameHeaderName(FindHeader(request.headers, "connection"), "close");
    if (slot.wants_close) this->ending = true;
    slot.body_bytes = request.body.size();
    this->ReleaseBody();
    this->CountCharges();
    this->owner.pending += 1;
    this->request_deadline = kernel::Now() + this->owner.limits.request_timeout;
    this->owner.events.on_request({this->id, slot.sequence},
                                  std::move(request));
  }

  void Refuse(const kernel::Error& error) {
    this->ending = true;
    this->ReleaseBody();
    this->CountCharges();
    this->reader.Discard();
    Slot& slot = this->slots.emplace_back();
    slot.sequence = ++this->last_sequence;
    slot.wants_close = true;
    slot.answered = true;
    slot.answer = this->owner.events.refuse(error);
    this->WriteAnswers();
  }

  void WriteAnswers() {
    bool close = false;
    while (!this->slots.empty() && this->slots.front().answered && !close) {
      Slot& slot = this->slots.front();
      // A request behind an answer that closes would count as unread although
      // it was read, so only the last pending answer closes.
      const bool last = this->slots.size() == 1;
      close = slot.wants_close || (last && this->owner.close_after_answers);
      this->output.Append(EncodeAnswerHead(slot.answer, slot.to_head, close));
      if (HasBody(slot.answer, slot.to_head))
        this->output.AppendInBlocks(std::move(slot.answer.body));
      this->slots.pop_front();
    }
    if (close) {
      this->ending = true;
      this->close_when_flushed = true;
    }
    this->idle_since = kernel::Now();
    this->idle_until = this->idle_since + this->owner.limits.idle_timeout;
    this->Flush();
    this->owner.LimitUnsentBytesSoon();
    this->ReadRequests();
    this->LimitInput();
  }

  void CountUnsent() {
    std::size_t bytes = this->output.Size();
    for (const auto& slot : this->slots) bytes += slot.answer.body.size();
    this->owner.unsent += bytes - this->unsent;
    this->unsent = bytes;
  }

  /// What the connection holds counts no longer: it ends.
  void ForgetUnsent() {
    this->owner.unsent -= this->unsent;
    this->unsent = 0;
  }

  void Flush() {
    this->WriteOutput();
    if (!this->retired) this->CountUnsent();
  }

  void WriteOutput() {
    while (!this->output.IsEmpty()) {
      if (this->retired) return;
      const std::string_view next = this->output.Next();
      const ssize_t sent = send(this->stream.get_handle(), next.data(),
                                next.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent < 0 && errno == EWOULDBLOCK) {
        this->output_watch.Set(true);
        return;
      }
      if (sent <= 0) {
        this->Abandon(EndOf(sent));
        return;
      }
      this->output.Consume(static_cast<std::size_t>(sent));
      this->taken_at = kernel::Now();
    }
    this->output_watch.Set(false);
    if (this->close_when_flushed && !this->lingering)
      this->BeginLinger(ConnectionEnd::kAnswered);
  }

  /// The end that the result of a failed recv() or send() tells.
  static ConnectionEnd EndOf(ssize_t result) {
    const bool unreachable =
        result < 0 && (errno == ETIMEDOUT || errno == EHOSTUNREACH);
    return unreachable ? ConnectionEnd::kUnreachable
                       : ConnectionEnd::kCallerClosed;
  }

  /// Reads what is there now, but not what comes meanwhile.
  void ReadArrived() {
    auto arrived = static_cast<std::ptrdiff_t>(this->UnreadBytes());
    for (; arrived > 0 && !this->retired; arrived -= std::ptrdiff_t{kReadChunk})
      this->handle_input(this->get_handle());
  }

  /// Whether a time limit is over. None runs while an answer is due.
  bool IsOverTime(Instant now) const {
    if (!this->slots.empty() || !this->output.IsEmpty()) return false;
    if (this->reader.InMessage()) return now >= this->request_deadline;
    const bool stops =
        this->owner.stopped && now >= this->idle_since + kStopIdleTime;
    return stops || now >= this->idle_until;
  }

  /// Whether the caller's side has acknowledged all answers.
  bool IsDelivered() const {
    int unacknowledged = 0;
    return ioctl(this->stream.get_handle(), TIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
  }

  void TellEnd(ConnectionEnd end) const {
    if (!this->owner.events.on_close) return;
    ConnectionClose close;
    close.end = end;
    close.idle = kernel::Now() - this->idle_since;
    close.pending = static_cast<std::size_t>(
        std::ranges::count(this->slots, false, &Slot::answered));
    close.unread = this->UnreadBytes();
    close.unsent = this->unsent;
    close.behind = this->owner.behind;
    this->owner.events.on_close(close);
  }

  void BeginLinger(ConnectionEnd end) {
    this->TellEnd(end);
    this->ending = true;
    this->lingering = true;
    this->linger_until = kernel::Now() + kLingerTime;
    shutdown(this->stream.get_handle(), SHUT_WR);
  }

  /// Ends without the answers that are due.
  void Abandon(ConnectionEnd end) {
    if (!this->lingering) this->TellEnd(end);
    std::deque<Slot> abandoned;
    abandoned.swap(this->slots);
    this->ForgetUnsent();
    this->ForgetCharges();
    for (const auto& slot : abandoned) {
      if (slot.answered) continue;
      this->owner.pending -= 1;
      this->owner.events.on_gone({this->id, slot.sequence});
    }
    this->owner.Bury(this->id);
  }

  void Close() {
    if (this->stream.get_handle() == ACE_INVALID_HANDLE) return;
    this->owner.task.Reactor().remove_handler(
        this,
        ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    this->stream.close();
  }

  Impl& owner;
  std::uint64_t id;
  ACE_SOCK_Stream stream;
  RequestReader reader;
  std::deque<Slot> slots;
  std::uint64_t last_sequence = 0;
  OutputQueue output;
  std::size_t unsent = 0;          ///< Bytes of answers.
  std::size_t partial_charge = 0;  ///< Of the body that is being read.
  std::size_t charged = 0;         ///< As the owner counts it.
  std::size_t charged_whole_large = 0;
  bool is_listed = false;  ///< Among the owner's large bodies.
  bool paused = false;     ///< The body is not read for now.
  Instant begun_at;        ///< First bytes of the current request.
  Instant progressed_at;   ///< Last bytes of it.
  EventWatch output_watch{this->owner.task.Reactor(), *this,
                          ACE_Event_Handler::WRITE_MASK, false};
  EventWatch input_watch{this->owner.task.Reactor(), *this,
                         ACE_Event_Handler::READ_MASK, true};
  bool caller_left = false;  ///< Has closed, or sends nothing more.
  bool ending = false;       ///< Reads no further request.
  bool close_when_flushed = false;
  bool lingering = false;
  bool reading = false;  ///< Guards against recursion.
  bool retired = false;
  Instant request_deadline;
  Instant taken_at;  ///< When the connection last took bytes of an answer.
  Instant idle_since;
  Instant idle_until;
  Instant linger_until;
};

class HttpFront::Impl::Acceptor : public ACE_Event_Handler {
 public:
  explicit Acceptor(Impl& owner) : owner(owner) {}
  ~Acceptor() override {
    if (this->socket.get_handle() == ACE_INVALID_HANDLE) return;
    this->watch.Set(false);
    this->socket.close();
  }

  bool Open(const Address& address) {
    const ACE_INET_Addr local = address.ToAce();
    if (this->socket.open(local, 1, local.get_type(), kListenBacklog) != 0) {
      return false;
    }
    this->socket.enable(ACE_NONBLOCK);
    this->watch.Set(true);
    return true;
  }

  ACE_HANDLE get_handle() const override { return this->socket.get_handle(); }

  /// Takes connections again after a pause.
  void Resume() { this->watch.Set(true); }

  /// Takes the connections that wait to be accepted, as far as there is room:
  /// closing the socket would reset them with the requests that they carry.
  void TakeWaiting() { this->handle_input(this->get_handle()); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    if (!this->owner.HasRoom()) this->owner.CloseIdlest();
    // Until a connection has closed.
    if (!this->owner.HasRoom()) this->watch.Set(false);
    while (this->owner.HasRoom()) {
      const int handle = accept4(this->socket.get_handle(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (handle < 0 && errno == EINTR) continue;
      if (handle < 0) {
        if (errno != EWOULDBLOCK && errno != ECONNABORTED) {
          observe::LogError("accept_failed",
                            {{"errno", std::to_string(errno)}});
          // Trying again at once would fail again: the next sweep does.
          this->watch.Set(false);
        }
        return 0;
      }
      const std::uint64_t id = ++this->owner.last_id;
      this->owner.connections[id] =
          std::make_unique<Connection>(this->owner, id, handle);
    }
    return 0;
  }

 private:
  Impl& owner;
  ACE_SOCK_Acceptor socket;
  EventWatch watch{this->owner.task.Reactor(), *this,
                   ACE_Event_Handler::ACCEPT_MASK, false};
};

/// Closes the connections that are idle for longest: a few at a time, since
/// finding them takes a look at all.
void HttpFront::Impl::CloseIdlest() {
  std::vector<Connection*> idle;
  for (const auto& [id, connection] : this->connections) {
    if (connection->IsIdle()) idle.push_back(connection.get());
  }
  std::ranges::sort(idle, {}, &Connection::IdleUntil);
  std::size_t left = this->limits.max_connections / kClosedTogether + 1;
  for (Connection* connection : idle) {
    if (left == 0) break;
    if (connection->UnreadBytes() > 0) continue;
    connection->CloseIdle(ConnectionEnd::kRoom);
    left -= 1;
  }
}

void HttpFront::Impl::LimitUnsentBytesSoon() {
  if (this->will_limit || this->unsent <= this->limits.max_unsent_bytes) return;
  this->will_limit = true;
  this->task.Post([this, is_alive = std::weak_ptr<char>(this->alive)] {
    if (is_alive.expired()) return;
    this->will_limit = false;
    this->LimitUnsentBytes();
  });
}

void HttpFront::Impl::LimitUnsentBytes() {
  while (this->unsent > this->limits.max_unsent_bytes) {
    Connection* longest = nullptr;
    for (const auto& [id, connection] : this->connections) {
      const bool longer =
          longest == nullptr || connection->TookNothingLongerThan(*longest);
      if (connection->UnsentBytes() > 0 && longer) longest = connection.get();
    }
    if (longest == nullptr) return;
    longest->GiveUpAnswers();
  }
}

BodyStep HttpFront::Impl::Decide(const BodyDemand& demand) {
  while (this->events.decide_body) {
    std::vector<BodyInProgress> bodies;
    bodies.reserve(this->large_bodies.size());
    for (const auto& [id, connection] : this->large_bodies)
      bodies.push_back(connection->Body());
    const BodyCharges charges{this->limits.max_request_bytes,
                              this->limits.max_request_bytes_alone,
                              this->charged, this->charged_whole_large};
    const auto decision = this->events.decide_body(charges, demand, bodies);
    if (decision.step != BodyStep::kEndOther) return decision.step;
    this->large_bodies.at(decision.other)->EndBody();
  }
  return BodyStep::kRead;
}

void HttpFront::Impl::Bury(std::uint64_t id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  found->second->Retire();
  // The connection may be on the call stack, so that it is destroyed later.
  if (this->closed->empty()) {
    this->task.Post([list = this->closed] { list->clear(); });
  }
  this->closed->push_back(std::move(found->second));
  this->connections.erase(found);
  if (this->acceptor) this->acceptor->Resume();
}

std::vector<HttpFront::Impl::Connection*> HttpFront::Impl::AllConnections()
    const {
  std::vector<Connection*> all;
  all.reserve(this->connections.size());
  for (const auto& [id, connection] : this->connections) {
    all.push_back(connection.get());
  }
  return all;
}

void HttpFront::Impl::Sweep() {
  const Instant now = kernel::Now();
  this->behind = std::max(kernel::Duration(0), now - this->next_sweep);
  this->next_sweep = now + kSweepPeriod;
  for (Connection* connection : this->AllConnections())
    connection->CheckTime(now);
  if (this->acceptor) this->acceptor->Resume();
}

HttpFront::HttpFront(kernel::ReactorTask& task, FrontEvents events)
    : impl(std::make_unique<Impl>(task, std::move(events))) {}
HttpFront::~HttpFront() = default;

kernel::Result<void> HttpFront::Listen(const Address& address) {
  auto acceptor = std::make_unique<Impl::Acceptor>(*this->impl);
  if (!acceptor->Open(address)) {
    return kernel::Fail(kernel::ErrorKind::kSettingInvalid,
                        "cannot listen on " + address.ToString());
  }
  this->impl->acceptor = std::move(acceptor);
  return kernel::Ok();
}

void HttpFront::Answer(const RequestRef& ref, HttpAnswer answer) {
  const auto found = this->impl->connections.find(ref.connection);
  if (found == this->impl->connections.end()) return;
  found->second->Answer(ref.sequence, std::move(answer));
}

void HttpFront::SetLimits(const FrontLimits& limits) {
  this->impl->limits = limits;
  for (const auto& [id, connection] : this->impl->connections) {
    connection->SetLimits(limits);
  }
}

void HttpFront::SetMaxUnsentBytes(std::size_t limit) {
  this->impl->limits.max_unsent_bytes = limit;
}

void HttpFront::SetMaxRequestBytes(std::size_t limit, std::size_t limit_alone) {
  this->impl->limits.max_request_bytes = limit;
  this->impl->limits.max_request_bytes_alone = limit_alone;
}

void HttpFront::CloseAfterAnswers() { this->impl->close_after_answers = true; }

void HttpFront::StopAccepting() {
  if (this->impl->acceptor) this->impl->acceptor->TakeWaiting();
  this->impl->acceptor.reset();
  this->impl->stopped = true;
}

void HttpFront::EndPartialRequests(const kernel::Error& error) {
  for (auto* connection : this->impl->AllConnections())
    connection->EndPartialRequest(error);
}

bool HttpFront::HasCallerLeft(const RequestRef& ref) const {
  const auto found = this->impl->connections.find(ref.connection);
  return found == this->impl->connections.end() ||
         found->second->HasCallerLeft();
}
std::size_t HttpFront::BufferedBytes() const {
  std::size_t sum = 0;
  for (const auto& [id, connection] : this->impl->connections)
    sum += connection->BufferedBytes();
  return sum;
}
std::size_t HttpFront::ChargedBytes() const { return this->impl->charged; }
std::size_t HttpFront::UnsentBytes() const { return this->impl->unsent; }
std::size_t HttpFront::Pending() const { return this->impl->pending; }
std::size_t HttpFront::Connections() const {
  return this->impl->connections.size();
}

}  // namespace chervilmux::net
