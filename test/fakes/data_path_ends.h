/// \file
/// Defines the two ends that tests of the data path play: callers of an
/// HttpFront, and servers behind ServerLinks.

#ifndef CHERVILMUX_TEST_FAKES_DATA_PATH_ENDS_H_
#define CHERVILMUX_TEST_FAKES_DATA_PATH_ENDS_H_

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/http_front.h"
#include "net/server_links.h"

namespace chervilmux::net {

using kernel::milliseconds;
using kernel::seconds;

/// A blocking caller.
class Caller {
 public:
  explicit Caller(const Address& address)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(address.port);
    REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&to),
                    sizeof(to)) == 0);
    // A caller that waits in vain gives up instead of hanging the test.
    const timeval patience{20, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof(patience));
  }
  ~Caller() { this->Close(); }
  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }
  void CloseSending() const { shutdown(this->descriptor, SHUT_WR); }
  void Send(std::string_view bytes) const {
    CHECK(send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
  }
  /// Sends all of `bytes`. Returns whether the connection took them soon.
  bool TrySend(std::string_view bytes) const {
    const timeval patience{0, 200000};
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &patience,
               sizeof(patience));
    while (!bytes.empty()) {
      const ssize_t sent =
          send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Whether the other end resets the connection within a second.
  bool IsResetSoon() const {
    constexpr int kTries = 100;
    for (int i = 0; i < kTries; ++i) {
      if (send(this->descriptor, "\r\n", 2, MSG_NOSIGNAL) < 0) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  /// Reads until `text` has been seen or the connection ends.
  std::string ReadUntil(std::string_view text) const {
    std::string got;
    char buffer[1024];
    // Only new bytes, and those that may begin `text`, are searched.
    std::size_t searched = 0;
    while (got.find(text, searched) == std::string::npos) {
      searched = got.size() - std::min(got.size(), text.size());
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      got.append(buffer, static_cast<std::size_t>(size));
    }
    return got;
  }
  /// Reads `size` bytes; fewer if the connection ends.
  std::string Read(std::size_t size) const {
    std::string got(size, '\0');
    std::size_t filled = 0;
    while (filled < size) {
      const ssize_t part =
          recv(this->descriptor, got.data() + filled, size - filled, 0);
      if (part <= 0) break;
      filled += static_cast<std::size_t>(part);
    }
    got.resize(filled);
    return got;
  }

 private:
  int descriptor;
};

/// A front whose requests are answered by the test.
class Front {
 public:
  Front() {
    FrontEvents events;
    events.on_request = [this](const RequestRef& ref,
                               const HttpRequest& request) {
      this->refs[request.url] = ref;
      if (this->refs.size() == this->expected) this->arrived.set_value();
    };
    events.on_gone = [this](const RequestRef&) {
      if (this->gone_count++ == 0) this->gone.set_value();
    };
    events.refuse = [](const kernel::Error& error) {
      HttpAnswer answer;
      answer.status = kernel::TraitsOf(error.kind).status;
      return answer;
    };
    this->front = std::make_unique<HttpFront>(this->task, std::move(events));
    fakes::LoopbackListener probe;
    this->address = probe.address;
    probe.Close();
    REQUIRE(this->front->Listen(this->address));
    this->task.Start();
  }
  ~Front() {
    this->Do([this] { this->front.reset(); });
    this->task.Stop();
  }

  void Do(std::function<void()> action) {
    std::promise<void> done;
    this->task.Post([&] {
      action();
      done.set_value();
    });
    done.get_future().get();
  }
  std::size_t Requests() {
    std::size_t count = 0;
    this->Do([&] { count = this->refs.size(); });
    return count;
  }
  std::size_t Connections() {
    std::size_t count = 0;
    this->Do([&] { count = this->front->Connections(); });
    return count;
  }
  std::size_t BufferedBytes() {
    std::size_t bytes = 0;
    this->Do([&] { bytes = this->front->BufferedBytes(); });
    return bytes;
  }
  std::size_t UnsentBytes() {
    std::size_t bytes = 0;
    this->Do([&] { bytes = this->front->UnsentBytes(); });
    return bytes;
  }
  void Answer(const std::string& url, const std::string& body) {
    this->Do([&] {
      HttpAnswer answer;
      answer.status = 200;
      answer.body = body;
      this->front->Answer(this->refs.at(url), std::move(answer));
    });
  }

  kernel::ReactorTask task;
  std::unique_ptr<HttpFront> front;
  Address address;
  std::map<std::string, RequestRef> refs;
  std::size_t expected = 1;
  std::promise<void> arrived;
  std::promise<void> gone;
  unsigned gone_count = 0;
};

inline std::string Get(const std::string& url) {
  return "GET " + url + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

inline constexpr std::size_t kMaxBuffered = 1U << 20U;

/// Links to a server that the test plays.
class Links {
 public:
  Links() {
    this->task.Post([this] {
      this->links = std::make_unique<ServerLinks>(this->task);
      this->links->SetMaxBufferedBytes(kMaxBuffered);
    });
    this->task.Start();
  }
  ~Links() {
    std::promise<void> done;
    this->task.Post([&] {
      this->links.reset();
      done.set_value();
    });
    done.get_future().get();
    this->task.Stop();
  }

  std::future<TransferResult> Start(const Address& address,
                                    const std::string& id, bool may_repeat,
                                    kernel::Duration time = seconds(5)) {
    auto result = std::make_shared<std::promise<TransferResult>>();
    auto future = result->get_future();
    this->task.Post([=, this] {
      Exchange exchange;
      exchange.address = address;
      exchange.request.method = "GET";
      exchange.request.url = "/" + id;
      exchange.request.headers = {{"Host", "h"}, {"Id", id}};
      exchange.deadline = kernel::Now() + time;
      exchange.may_repeat = may_repeat;
      exchange.max_idle = this->max_idle;
      exchange.is_wanted = [this] { return this->is_wanted; };
      exchange.may_send = [this] { return this->may_send; };
      if (this->renews) {
        exchange.renew = [request = exchange.request] {
          HttpRequest renewed = request;
          renewed.headers.push_back({"Renewed", "yes"});
          return renewed;
        };
      }
      exchange.belongs = [id](const HttpAnswer& answer) {
        return FindHeader(answer.headers, "Id") == id;
      };
      exchange.done = [result](TransferResult end) {
        result->set_value(std::move(end));
      };
      this->last = this->links->Start(std::move(exchange));
    });
    return future;
  }
  std::size_t OpenTo(const Address& address) {
    std::promise<std::size_t> count;
    this->task.Post([&] { count.set_value(this->links->OpenTo(address)); });
    return count.get_future().get();
  }
  std::size_t BufferedBytes() {
    std::promise<std::size_t> bytes;
    this->task.Post([&] { bytes.set_value(this->links->BufferedBytes()); });
    return bytes.get_future().get();
  }
  /// Has the time limits checked by the next message of the task.
  void PostCheckTime() {
    this->task.Post([this] { this->links->CheckTime(kernel::Now()); });
  }
  void CheckTime() { this->CheckTimeAt(seconds(20)); }
  void CheckTimeNow() { this->CheckTimeAt(seconds(0)); }
  void CheckTimeAt(kernel::Duration from_now) {
    std::promise<void> done;
    this->task.Post([&] {
      this->links->CheckTime(kernel::Now() + from_now);
      done.set_value();
    });
    done.get_future().get();
  }

  kernel::ReactorTask task;
  std::unique_ptr<ServerLinks> links;
  TransferId last = 0;
  std::size_t max_idle = 100;
  bool is_wanted = true;
  bool may_send = true;
  bool renews = true;  ///< Requests may be sent late, as they are then.
};

/// The test's end of one connection to a server.
class ServerEnd {
 public:
  explicit ServerEnd(const fakes::LoopbackListener& listener)
      : descriptor(listener.Accept()) {}
  ~ServerEnd() { this->Close(); }
  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }
  /// Resets the connection; the peer has read what was sent before.
  void Reset() {
    std::this_thread::sleep_for(milliseconds(50));
    const linger at_once{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
    this->Close();
  }
  /// The head of a request; shorter if the connection ends.
  std::string ReadRequest() {
    std::string got;
    char buffer[1024];
    while (got.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      got.append(buffer, static_cast<std::size_t>(size));
    }
    return got;
  }
  /// What recv says next: 0 is an orderly end, ECONNRESET a reset.
  int NextError() const {
    char byte = 0;
    const ssize_t size = recv(this->descriptor, &byte, 1, 0);
    return size < 0 ? errno : 0;
  }
  void Send(const std::string& bytes) const {
    send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Sends all of `bytes`. Returns whether the connection is open.
  bool TrySend(const std::string& bytes) const {
    std::string_view left = bytes;
    while (!left.empty()) {
      const ssize_t sent =
          send(this->descriptor, left.data(), left.size(), MSG_NOSIGNAL);
      if (sent < 0) return false;
      left.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Whether the peer closes the connection soon.
  bool IsClosedByPeer() const {
    constexpr int kTries = 500;
    for (int i = 0; i < kTries; ++i) {
      if (!this->TrySend("x")) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  void Answer(const std::string& id, const std::string& body) const {
    this->Send("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  }

 private:
  int descriptor;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_TEST_FAKES_DATA_PATH_ENDS_H_
