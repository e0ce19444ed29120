#include "net/http_client.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <curl/curl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/timer.h"
#include "net/body_buffer.h"
#include "net/message_head.h"
#include "net/tcp.h"
#include "observe/log.h"

namespace chervilmux::net {
namespace {

constexpr long kMaxIdleConnectionAgeS = 30;
/// libcurl takes at least so much at a time of what lies in a socket.
constexpr long kReadChunk = 16L << 10U;
/// What libcurl keeps of each line of a head, beside its bytes.
constexpr std::size_t kLibraryBytesPerLine = 128;
/// A handle that has read a longer head is not used again: it keeps the head.
constexpr std::size_t kSpareHeadBytes = 16U << 10U;
/// Limit on the memory of all unfinished answers until one is set.
constexpr std::size_t kDefaultMaxBufferedBytes = 128U << 20U;
/// libcurl's own limit, unless set, is 300 s. Only the deadline counts here.
constexpr long kNoConnectLimitMs = std::numeric_limits<int>::max();

struct SlistFree {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using Slist = std::unique_ptr<curl_slist, SlistFree>;

/// One request in progress.
struct Transfer {
  TransferId id = 0;
  CURL* easy = nullptr;
  Slist header_list;
  HttpRequest request;
  std::size_t body_sent = 0;
  TransferOptions options;
  TransferDone done;
  Headers headers;
  BodyBuffer body;
  /// Bytes and lines of heads and trailers. libcurl keeps a copy of all.
  std::size_t head_bytes = 0;
  std::size_t head_lines = 0;
  int writes_begun = 0;
  bool head_begun = false;
  bool is_interim = false;  ///< The head that is being read has a status 1xx.
  bool head_whole = false;  ///< The head of the final answer was read.
  bool too_large = false;

  /// Bytes of memory that hold the answer.
  std::size_t HeldBytes() const {
    constexpr std::size_t kBytesPerLine =
        kLibraryBytesPerLine + 2 * sizeof(Header);
    return 2 * this->head_bytes + this->head_lines * kBytesPerLine +
           this->body.HeldBytes();
  }
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::size_t bytes = size * count;
  if (transfer.body.Size() + bytes > transfer.options.max_answer_bytes) {
    transfer.too_large = true;
    return 0;
  }
  transfer.body.Append({data, bytes});
  return bytes;
}

void TrimLineEnd(std::string_view& line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::size_t bytes = size * count;
  std::string_view line(data, bytes);
  transfer.head_bytes += bytes;
  transfer.head_lines += 1;
  // Ends the transfer.
  if (transfer.head_bytes > kMaxAnswerHeadBytes) return 0;
  // Fields behind the body (trailers) are not passed on.
  if (transfer.head_whole) return bytes;
  transfer.head_begun = true;
  if (line.starts_with("HTTP/")) {
    // A final answer may follow an interim one; only the last counts.
    transfer.headers.clear();
    transfer.is_interim = line.find(" 1") == line.find(' ');
    TrimLineEnd(line);
    return FaultInAnswerHead(line).empty() ? bytes : 0;
  }
  TrimLineEnd(line);
  if (line.empty()) {
    transfer.head_whole = !transfer.is_interim;
    return bytes;
  }
  if (!FaultInHeaderLine(line).empty()) return 0;
  const auto colon = line.find(':');
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  transfer.headers.push_back(
      {std::string(line.substr(0, colon)), std::string(value)});
  return bytes;
}

std::size_t OnRead(char* buffer, std::size_t size, std::size_t count,
                   void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::size_t left = transfer.request.body.size() - transfer.body_sent;
  const std::size_t bytes = std::min(size * count, left);
  transfer.request.body.copy(buffer, bytes, transfer.body_sent);
  transfer.body_sent += bytes;
  return bytes;
}

int OnSeek(void* user, curl_off_t offset, int origin) {
  auto& transfer = *static_cast<Transfer*>(user);
  if (!transfer.options.may_repeat || origin != SEEK_SET) {
    return CURL_SEEKFUNC_FAIL;
  }
  transfer.body_sent = static_cast<std::size_t>(offset);
  return CURL_SEEKFUNC_OK;
}

int OnBeforeRequest(void* user, char* /*primary_ip*/, char* /*local_ip*/,
                    int /*primary_port*/, int /*local_port*/) {
  auto& transfer = *static_cast<Transfer*>(user);
  if (kernel::Now() >= transfer.options.deadline) return CURL_PREREQFUNC_ABORT;
  transfer.writes_begun += 1;
  const bool repeats = transfer.writes_begun > 1;
  return repeats && !transfer.options.may_repeat ? CURL_PREREQFUNC_ABORT
                                                 : CURL_PREREQFUNC_OK;
}

int OnSocketCreated(void* /*user*/, curl_socket_t socket,
                    curlsocktype /*purpose*/) {
  TuneConnection(socket);
  return CURL_SOCKOPT_OK;
}

/// Whether the body has the length that the head states, if it states one. It
/// counts the bytes on the wire, before a compressed body is unpacked.
bool HasStatedLength(const Transfer& transfer, long status) {
  const Headers& headers = transfer.headers;
  const bool never_has_body =
      transfer.request.method == "HEAD" || status == 204 || status == 304;
  const bool is_framed = !FindHeader(headers, "transfer-encoding").empty();
  if (never_has_body || is_framed) return true;
  curl_off_t received = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  return std::ranges::all_of(headers, [received](const Header& header) {
    if (!SameHeaderName(header.name, "content-length")) return true;
    const std::string_view text = TrimBlanks(header.value);
    curl_off_t length = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    return parsed.ec == std::errc() && parsed.ptr == end && length == received;
  });
}

/// libcurl reports success when the connection closes within the head, and
/// ignores a length that it cannot read.
TransferEnd EndOf(CURLcode code, const Transfer& transfer, long status) {
  if (code == CURLE_OK && transfer.head_whole &&
      HasStatedLength(transfer, status)) {
    return TransferEnd::kComplete;
  }
  if (transfer.too_large) return TransferEnd::kTooLarge;
  if (transfer.writes_begun == 0) return TransferEnd::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  if (code == CURLE_PARTIAL_FILE || transfer.head_begun) {
    return TransferEnd::kTruncated;
  }
  return TransferEnd::kBroken;
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(kernel::ReactorTask& task, long max_connections)
      : task(task),
        timer(task.Reactor(), [this] { this->Drive(CURL_SOCKET_TIMEOUT, 0); }),
        deadline_timer(task.Reactor(), [this] { this->CheckTime(); }),
        multi(curl_multi_init()) {
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_connections);
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Impl() {
    for (auto& [id, transfer] : this->transfers) {
      curl_multi_remove_handle(this->multi, transfer->easy);
      curl_easy_cleanup(transfer->easy);
    }
    curl_multi_cleanup(this->multi);
    for (CURL* easy : this->spare) curl_easy_cleanup(easy);
  }

  TransferId Start(const HttpRequest& request, const TransferOptions& options,
                   TransferDone done) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++this->last_id;
    transfer->request = request;
    transfer->options = options;
    transfer->done = std::move(done);
    transfer->easy = this->TakeHandle();
    this->Configure(*transfer);
    curl_multi_add_handle(this->multi, transfer->easy);
    const TransferId id = transfer->id;
    this->transfers.emplace(id, std::move(transfer));
    this->deadlines.emplace(options.deadline, id);
    this->Begin();
    this->AwaitDeadline();
    return id;
  }

  std::size_t BufferedBytes() const {
    std::size_t sum = 0;
    for (const auto& [id, transfer] : this->transfers)
      sum += transfer->HeldBytes();
    return sum;
  }

  void SetMaxBufferedBytes(std::size_t limit) {
    this->max_buffered_bytes = limit;
  }

  void Cancel(TransferId id) {
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end()) return;
    // Removing a busy handle closes its connection: a late answer cannot reach
    // another request.
    this->Finish(found->second->easy, TransferEnd::kCancelled);
  }

 private:
  /// Watches one of libcurl's sockets, by a descriptor of its own: libcurl
  /// closes a socket that it gives up while connecting before it says so, and
  /// the reactor cannot forget a descriptor that is closed already.
  class Watch : public ACE_Event_Handler {
   public:
    Watch(Impl& impl, curl_socket_t socket)
        : impl(impl), socket(socket), watched(dup(socket)) {}
    ~Watch() override { this->CloseDescriptor(); }
    void CloseDescriptor() {
      if (this->watched >= 0) close(std::exchange(this->watched, -1));
    }
    ACE_HANDLE get_handle() const override { return this->watched; }
    int handle_input(ACE_HANDLE /*handle*/) override {
      this->impl.Drive(this->socket, CURL_CSELECT_IN);
      return 0;
    }
    int handle_output(ACE_HANDLE /*handle*/) override {
      this->impl.Drive(this->socket, CURL_CSELECT_OUT);
      return 0;
    }
    /// Whether bytes, or the connection's end, have arrived and were not read.
    bool HasArrived() const {
      pollfd entry{this->watched, POLLIN, 0};
      return poll(&entry, 1, 0) == 1;
    }
    long UnreadBytes() const {
      int bytes = 0;
      const bool known = ioctl(this->watched, FIONREAD, &bytes) == 0;
      return known ? bytes : 0;
    }
    ACE_Reactor_Mask mask = 0;

   private:
    Impl& impl;
    curl_socket_t socket;
    int watched;
  };

  CURL* TakeHandle() {
    if (this->spare.empty()) return curl_easy_init();
    CURL* easy = this->spare.back();
    this->spare.pop_back();
    curl_easy_reset(easy);
    return easy;
  }

  void Configure(Transfer& transfer) {
    CURL* easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_URL, transfer.request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleConnectionAgeS);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kNoConnectLimitMs);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReadChunk);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     transfer.options.fresh_connection ? 1L : 0L);
    if (transfer.options.accepts_compressed)
      curl_easy_setopt(easy, CURLOPT_ACCEPT_ENCODING, "gzip");
    this->ConfigureBody(transfer);
    this->ConfigureHeaders(transfer);
  }

  void ConfigureBody(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const std::string& method = transfer.request.method;
    const bool has_body = !transfer.request.body.empty() || method == "POST" ||
                          method == "PUT" || method == "PATCH";
    if (has_body) {
      curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                       static_cast<curl_off_t>(transfer.request.body.size()));
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, &OnRead);
      curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
      curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &OnSeek);
      curl_easy_setopt(easy, CURLOPT_SEEKDATA, &transfer);
    }
    if (method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  }

  void ConfigureHeaders(Transfer& transfer) {
    curl_slist* list = nullptr;
    bool has_accept = false;
    bool has_type = false;
    for (const auto& header : transfer.request.headers) {
      if (SameHeaderName(header.name, "content-length")) continue;
      if (SameHeaderName(header.name, "host")) continue;
      if (SameHeaderName(header.name, "expect")) continue;
      has_accept |= SameHeaderName(header.name, "accept");
      has_type |= SameHeaderName(header.name, "content-type");
      // libcurl spells a header without a value with a semicolon.
      const std::string line = header.value.empty()
                                   ? header.name + ";"
                                   : header.name + ": " + header.value;
      list = curl_slist_append(list, line.c_str());
    }
    // Adds nothing that the request did not have.
    list = curl_slist_append(list, "Expect:");
    if (!has_accept) list = curl_slist_append(list, "Accept:");
    if (!has_type) list = curl_slist_append(list, "Content-Type:");
    transfer.header_list.reset(list);
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, list);
  }

  /// Lets libcurl connect and send at once: the task's next turn may be late.
  void Begin() {
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    // An end is told later, not to a caller that is still in Start().
    if (std::cmp_less(running, this->transfers.size()))
      this->timer.SetOnce(kernel::Duration(0));
  }

  static int OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                      void* user, void* /*socket_data*/) {
    static_cast<Impl*>(user)->UpdateWatch(socket, what);
    return 0;
  }

  void UpdateWatch(curl_socket_t socket, int what) {
    auto& watch = this->watches[socket];
    ACE_Reactor& reactor = this->task.Reactor();
    if (watch && watch->mask != 0) {
      reactor.remove_handler(watch.get(), ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
    }
    if (what == CURL_POLL_REMOVE) {
      if (watch) watch->CloseDescriptor();
      // The watch may be on the stack of this very call.
      this->retired.push_back(std::move(watch));
      this->watches.erase(socket);
      return;
    }
    if (!watch) watch = std::make_unique<Watch>(*this, socket);
    watch->mask = 0;
    if ((what & CURL_POLL_IN) != 0) {
      watch->mask |= ACE_Event_Handler::READ_MASK;
    }
    if ((what & CURL_POLL_OUT) != 0) {
      watch->mask |= ACE_Event_Handler::WRITE_MASK;
    }
    if (watch->mask != 0) reactor.register_handler(watch.get(), watch->mask);
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* user) {
    kernel::Timer& timer = static_cast<Impl*>(user)->timer;
    if (timeout_ms < 0) {
      timer.Cancel();
    } else {
      timer.SetOnce(kernel::milliseconds(timeout_ms));
    }
    return 0;
  }

  void AwaitDeadline() {
    if (this->deadlines.empty()) {
      this->deadline_timer.Cancel();
      return;
    }
    const kernel::Duration left =
        this->deadlines.begin()->first - kernel::Now();
    this->deadline_timer.SetOnce(std::max(left, kernel::Duration(0)));
  }

  bool IsOverTime(kernel::Instant now) const {
    return !this->deadlines.empty() && now >= this->deadlines.begin()->first;
  }

  /// Ends the transfers whose deadline is over. libcurl has no time limit of
  /// its own: it would check that before it reads.
  void CheckTime() {
    const kernel::Instant now = kernel::Now();
    // What has arrived counts, not what a task that is behind has read.
    this->Collect();
    if (this->IsOverTime(now)) this->ReadArrived();
    std::vector<TransferId> overdue;
    for (const auto& [deadline, id] : this->deadlines) {
      if (now < deadline) break;
      overdue.push_back(id);
    }
    for (const TransferId id : overdue) {
      const auto found = this->transfers.find(id);
      if (found == this->transfers.end()) continue;
      const Transfer& transfer = *found->second;
      this->Finish(transfer.easy, EndOf(CURLE_OPERATION_TIMEDOUT, transfer, 0));
    }
    this->AwaitDeadline();
  }

  /// Has libcurl read what lies in the sockets that await an answer.
  void ReadArrived() {
    std::vector<curl_socket_t> sockets;
    for (const auto& [socket, watch] : this->watches) {
      const bool reads = (watch->mask & ACE_Event_Handler::READ_MASK) != 0;
      if (reads && watch->HasArrived()) sockets.push_back(socket);
    }
    for (const curl_socket_t socket : sockets) this->ReadArrived(socket);
  }

  /// Reads what is there now, but not what comes meanwhile.
  void ReadArrived(curl_socket_t socket) {
    const auto first = this->watches.find(socket);
    if (first == this->watches.end()) return;
    // The last read is that of the connection's end.
    long reads = first->second->UnreadBytes() / kReadChunk + 2;
    for (; reads > 0; --reads) {
      const auto found = this->watches.find(socket);
      if (found == this->watches.end() || !found->second->HasArrived()) return;
      this->Drive(socket, CURL_CSELECT_IN);
    }
  }

  void Drive(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    this->Collect();
    this->LimitBufferedBytes();
    if (this->depth == 0) this->retired.clear();
  }

  void Collect() {
    this->depth += 1;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      long status = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      this->Finish(message->easy_handle,
                   EndOf(message->data.result, *transfer, status));
    }
    this->depth -= 1;
  }

  void LimitBufferedBytes() {
    while (this->BufferedBytes() > this->max_buffered_bytes) {
      const auto largest = std::ranges::max_element(
          this->transfers, {},
          [](const auto& entry) { return entry.second->HeldBytes(); });
      const Transfer& transfer = *largest->second;
      observe::LogWarn("answer_given_up",
                       {{"url", transfer.request.url},
                        {"bytes", std::to_string(transfer.HeldBytes())}});
      this->Finish(transfer.easy, TransferEnd::kTooLarge);
    }
  }

  void Finish(CURL* easy, TransferEnd end) {
    Transfer* raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    const auto found = this->transfers.find(raw->id);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    this->transfers.erase(found);
    this->deadlines.erase({transfer->options.deadline, transfer->id});
    TransferResult result;
    result.end = end;
    result.possibly_sent = transfer->writes_begun > 0;
    long status = 0;
    long connects = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    result.reused_connection = connects == 0;
    curl_multi_remove_handle(this->multi, easy);
    if (transfer->head_bytes > kSpareHeadBytes) {
      curl_easy_cleanup(easy);
    } else {
      this->spare.push_back(easy);
    }
    if (end == TransferEnd::kComplete) {
      result.answer.status = static_cast<std::uint16_t>(status);
      result.answer.headers = std::move(transfer->headers);
      result.answer.body = transfer->body.Take();
    }
    transfer->done(std::move(result));
  }

  kernel::ReactorTask& task;
  kernel::Timer timer;  ///< libcurl's own.
  kernel::Timer deadline_timer;
  CURLM* multi;
  TransferId last_id = 0;
  int depth = 0;
  std::map<TransferId, std::unique_ptr<Transfer>> transfers;
  std::set<std::pair<kernel::Instant, TransferId>> deadlines;
  std::map<curl_socket_t, std::unique_ptr<Watch>> watches;
  std::vector<std::unique_ptr<Watch>> retired;
  std::vector<CURL*> spare;
  std::size_t max_buffered_bytes = kDefaultMaxBufferedBytes;
};

HttpClient::HttpClient(kernel::ReactorTask& task,
                       long max_connections_per_server)
    : impl(std::make_unique<Impl>(task, max_connections_per_server)) {}

HttpClient::~HttpClient() = default;

TransferId HttpClient::Start(const HttpRequest& request,
                             const TransferOptions& options,
                             TransferDone done) {
  return this->impl->Start(request, options, std::move(done));
}

void HttpClient::Cancel(TransferId id) { this->impl->Cancel(id); }
void HttpClient::SetMaxBufferedBytes(std::size_t limit) {
  this->impl->SetMaxBufferedBytes(limit);
}
std::size_t HttpClient::BufferedBytes() const {
  return this->impl->BufferedBytes();
}

}  // namespace chervilmux::net
