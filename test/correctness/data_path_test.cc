// The sockets of the data path: pipelined callers, callers that leave, and
// servers whose bytes belong to no request.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/http_front.h"
#include "net/server_links.h"

namespace chervilmux::net {
namespace {

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
  /// Reads until `text` has been seen or the connection ends.
  std::string ReadUntil(std::string_view text) const {
    std::string got;
    char buffer[1024];
    while (got.find(text) == std::string::npos) {
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      got.append(buffer, static_cast<std::size_t>(size));
    }
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

std::string Get(const std::string& url) {
  return "GET " + url + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

constexpr std::size_t kMaxBuffered = 1U << 20U;

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
  void ReadRequest() {
    std::string got;
    char buffer[1024];
    while (got.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) return;
      got.append(buffer, static_cast<std::size_t>(size));
    }
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

}  // namespace

TEST_CASE("a caller that sends requests ahead") {
  Front front;
  front.expected = 3;
  Caller caller(front.address);
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  front.arrived.get_future().get();
  SUBCASE("gets its answers in its order, whatever is done first") {
    front.Answer("/3", "three");
    front.Answer("/2", "two");
    front.Answer("/1", "one");
    const std::string got = caller.ReadUntil("three");
    CHECK(got.find("one") < got.find("two"));
    CHECK(got.find("two") < got.find("three"));
  }
  SUBCASE("is asked to close only behind the last pending answer") {
    front.Do([&] { front.front->CloseAfterAnswers(); });
    front.Answer("/1", "one");
    front.Answer("/2", "two");
    front.Answer("/3", "three");
    const std::string got = caller.ReadUntil("three");
    CHECK(got.find("Connection: close") > got.find("two"));
    CHECK(got.find("Connection: close") != std::string::npos);
  }
  SUBCASE("does not keep its connection open past a stop by sending more") {
    front.Do([&] {
      front.front->CloseAfterAnswers();
      front.front->StopAccepting();
    });
    caller.Send(Get("/4"));
    front.Answer("/1", "one");
    front.Answer("/2", "two");
    front.Answer("/3", "three");
    // An open connection would leave the caller waiting for its fourth answer.
    const std::string got = caller.ReadUntil("never");
    CHECK(got.ends_with("three"));
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK_FALSE(front.refs.contains("/4"));
  }
}

TEST_CASE("more callers than connections") {
  Front front;
  FrontLimits limits;
  limits.max_connections = 2;
  front.Do([&] { front.front->SetLimits(limits); });
  Caller first(front.address);
  first.Send(Get("/1"));
  front.arrived.get_future().get();
  SUBCASE("the connection that is idle for longest makes room") {
    front.Answer("/1", "one");
    CHECK(first.ReadUntil("one").ends_with("one"));
    Caller second(front.address);
    Caller third(front.address);
    third.Send(Get("/3"));
    CHECK(first.ReadUntil("never").empty());
    front.Do([&] { CHECK(front.front->Connections() <= 2); });
  }
  SUBCASE("where none is idle the next one waits until one has its answer") {
    Caller second(front.address);
    second.Send(Get("/2"));
    while (front.Requests() < 2) std::this_thread::yield();
    Caller third(front.address);
    third.Send(Get("/3"));
    front.Do([&] { CHECK(front.front->Connections() == 2); });
    front.Answer("/1", "one");
    while (front.Requests() < 3) std::this_thread::yield();
    CHECK(first.ReadUntil("never").ends_with("one"));
    front.Answer("/3", "three");
    CHECK(third.ReadUntil("three").ends_with("three"));
  }
}

TEST_CASE("a caller that leaves is noticed while its request is pending") {
  Front front;
  Caller caller(front.address);
  caller.Send(Get("/1"));
  front.arrived.get_future().get();
  caller.Close();
  front.gone.get_future().get();
  front.Do([&] { CHECK(front.front->Pending() == 0); });
}

TEST_CASE(
    "a request with two readings is answered 400 and the connection ends") {
  Front front;
  Caller caller(front.address);
  caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      Get("/smuggled"));
  const std::string got = caller.ReadUntil("never");
  CHECK(got.starts_with("HTTP/1.1 400"));
  CHECK(front.refs.empty());
}

TEST_CASE("a server's connection") {
  fakes::LoopbackListener listener;
  Links links;
  GIVEN("that was used once") {
    auto first = links.Start(listener.address, "a", true);
    ServerEnd server(listener);
    server.ReadRequest();
    SUBCASE("carries the next request") {
      server.Answer("a", "1");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      server.ReadRequest();
      server.Answer("b", "2");
      const auto result = second.get();
      CHECK(result.answer.body == "2");
      CHECK(result.reused_connection);
    }
    SUBCASE("is not used again after extra bytes") {
      server.Send(
          "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\n1extra");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      ServerEnd other(listener);
      other.ReadRequest();
      other.Answer("b", "2");
      CHECK_FALSE(second.get().reused_connection);
    }
    SUBCASE("skips an answer to an earlier request, and is not used again") {
      server.Answer("a", "1");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      server.ReadRequest();
      server.Answer("a", "late");
      server.Answer("b", "2");
      CHECK(second.get().answer.body == "2");
      auto third = links.Start(listener.address, "c", true);
      ServerEnd other(listener);
      other.ReadRequest();
      other.Answer("c", "3");
      CHECK_FALSE(third.get().reused_connection);
    }
    SUBCASE("that ends early gives no answer") {
      server.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n1");
      server.Close();
      const auto result = first.get();
      CHECK(result.end == TransferEnd::kTruncated);
      CHECK(result.possibly_sent);
    }
    SUBCASE("that ends without a byte leaves the outcome open") {
      server.Close();
      const auto result = first.get();
      CHECK(result.end == TransferEnd::kBroken);
      CHECK(result.possibly_sent);
      CHECK(result.connected);
    }
    SUBCASE("that is reset after its first byte was not refused") {
      server.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n1");
      server.Reset();
      CHECK(first.get().end == TransferEnd::kTruncated);
    }
    SUBCASE("is reset when the request is given up at its deadline") {
      links.CheckTime();
      CHECK(first.get().end == TransferEnd::kTimedOut);
      CHECK(server.NextError() == ECONNRESET);
    }
  }
}

// Failure: each burst leaves as many idle connections behind as it had requests
// at once, and the server runs out of connections for all instances.
TEST_CASE("a server keeps only its share of idle connections") {
  fakes::LoopbackListener listener;
  Links links;
  links.max_idle = 2;
  std::vector<std::future<TransferResult>> results;
  std::vector<std::unique_ptr<ServerEnd>> servers;
  for (int i = 0; i < 5; ++i) {
    results.push_back(links.Start(listener.address, "a", true));
    servers.push_back(std::make_unique<ServerEnd>(listener));
    servers.back()->ReadRequest();
  }
  for (const auto& server : servers) server->Answer("a", "1");
  for (auto& result : results) CHECK(result.get().answer.body == "1");
  CHECK(links.OpenTo(listener.address) == 2);
}

// Failure: a faulty server that sends bytes without end fills the memory, or
// keeps its connection and the request past the deadline.
TEST_CASE("a server that sends bytes without end") {
  fakes::LoopbackListener listener;
  Links links;
  auto result = links.Start(listener.address, "a", true, milliseconds(600));
  ServerEnd server(listener);
  server.ReadRequest();
  const auto end_of = [&](const std::string& start, const std::string& more) {
    server.Send(start);
    std::size_t most_buffered = 0;
    while (result.wait_for(seconds(0)) != std::future_status::ready) {
      if (!server.TrySend(more)) break;
      most_buffered = std::max(most_buffered, links.BufferedBytes());
      links.CheckTimeNow();
    }
    CHECK(most_buffered <= kMaxBuffered);
    CHECK(links.BufferedBytes() == 0);
    CHECK(server.IsClosedByPeer());
    return result.get().end;
  };
  const std::string block(16U << 10U, 'x');
  SUBCASE("in the status line") {
    CHECK(end_of(block, block) == TransferEnd::kTruncated);
  }
  SUBCASE("in a header") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\nX: ", block) ==
          TransferEnd::kTruncated);
  }
  SUBCASE("in many headers") {
    std::string lines;
    for (int i = 0; i < 500; ++i) lines += "Header: value\r\n";
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\n", lines) ==
          TransferEnd::kTruncated);
  }
  SUBCASE("in a body without a length") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", block) ==
          TransferEnd::kTooLarge);
  }
  SUBCASE("in a body of many chunks") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n",
                 "4000\r\n" + block + "\r\n") == TransferEnd::kTooLarge);
  }
  SUBCASE("in interim answers") {
    std::string interim;
    for (int i = 0; i < 500; ++i) interim += "HTTP/1.1 102 Wait\r\n\r\n";
    CHECK(end_of(interim, interim) == TransferEnd::kTimedOut);
  }
  SUBCASE("in answers to other requests") {
    const std::string foreign =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 16384\r\n\r\n" + block;
    CHECK(end_of(foreign, foreign) == TransferEnd::kTimedOut);
  }
}

// Failure: several faulty servers together fill the memory, or an answer that
// is nearly whole is given up for them.
TEST_CASE("servers that send bytes without end share one limit") {
  fakes::LoopbackListener listener;
  Links links;
  auto sound = links.Start(listener.address, "sound", true);
  ServerEnd sound_server(listener);
  sound_server.ReadRequest();
  sound_server.Send(
      "HTTP/1.1 200 OK\r\nId: sound\r\nContent-Length: 3\r\n\r\n12");
  std::vector<std::future<TransferResult>> endless;
  std::vector<std::unique_ptr<ServerEnd>> servers;
  constexpr int kServers = 5;
  for (int i = 0; i < kServers; ++i) {
    endless.push_back(links.Start(listener.address, "a", true));
    servers.push_back(std::make_unique<ServerEnd>(listener));
    servers.back()->ReadRequest();
    servers.back()->Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\n");
  }
  const std::string block(16U << 10U, 'x');
  const auto all_ended = [&] {
    return std::ranges::all_of(endless, [](const auto& result) {
      return result.wait_for(seconds(0)) == std::future_status::ready;
    });
  };
  while (!all_ended()) {
    for (const auto& server : servers) server->TrySend(block);
    CHECK(links.BufferedBytes() <= kMaxBuffered);
  }
  for (auto& result : endless)
    CHECK(result.get().end == TransferEnd::kTooLarge);
  sound_server.Send("3");
  CHECK(sound.get().answer.body == "123");
}

// Failure: an instance that is behind reads a request after its caller has left
// and sends it to a server.
TEST_CASE("a request whose caller left before it was read is not served") {
  Front front;
  auto caller = std::make_unique<Caller>(front.address);
  // The connection is accepted before the instance falls behind.
  caller->Send(Get("/1"));
  front.arrived.get_future().get();
  std::promise<void> resume;
  front.task.Post([&] { resume.get_future().wait(); });
  caller->Send(Get("/2"));
  caller->Close();
  // The close has arrived when the connection's other end can read it.
  std::this_thread::sleep_for(milliseconds(50));
  resume.set_value();
  front.gone.get_future().get();
  CHECK(front.Requests() == 1);
}

// Failure: a caller that closes its sending side behind a faulty request is not
// told what is wrong with it.
TEST_CASE("a faulty request is refused although nothing can follow it") {
  Front front;
  Caller caller(front.address);
  std::promise<void> resume;
  front.task.Post([&] { resume.get_future().wait(); });
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n");
  caller.CloseSending();
  std::this_thread::sleep_for(milliseconds(50));
  resume.set_value();
  CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 400"));
}

// Failure: a caller that sends bytes without end fills the memory, or is not
// answered.
TEST_CASE("a caller that sends bytes without end") {
  Front front;
  ReadLimits limits;
  limits.max_head_bytes = 16U << 10U;
  limits.max_body_bytes = 256U << 10U;
  front.Do([&] {
    FrontLimits front_limits;
    front_limits.read = limits;
    front.front->SetLimits(front_limits);
  });
  Caller caller(front.address);
  const std::string block(16U << 10U, 'x');
  std::size_t most_buffered = 0;
  /// Sends blocks until the connection ends or takes no more.
  const auto send_blocks = [&](const std::string& bytes) {
    constexpr int kBlocks = 600;
    for (int i = 0; i < kBlocks && caller.TrySend(bytes); ++i) {
      front.Do([&] {
        most_buffered = std::max(most_buffered, front.front->BufferedBytes());
      });
    }
    CHECK(most_buffered <= 2 * limits.max_head_bytes + limits.max_body_bytes);
  };
  SUBCASE("in a head is refused, and its connection closed") {
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\nX: ");
    send_blocks(block);
    CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 431"));
  }
  SUBCASE("in a body is refused, and its connection closed") {
    caller.Send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    send_blocks("4000\r\n" + block + "\r\n");
    CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 413"));
  }
  SUBCASE("behind a request gets the answer to that request") {
    caller.Send(Get("/1"));
    front.arrived.get_future().get();
    send_blocks(block);
    front.Answer("/1", "one");
    const std::string got = caller.ReadUntil("never");
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(got.find("one") != std::string::npos);
    CHECK(got.find("HTTP/1.1 4") > got.find("one"));
  }
  SUBCASE("of requests that wait for their answers is not read any further") {
    front.expected = 32;
    std::string requests;
    for (int i = 0; i < 1000; ++i) requests += Get("/" + std::to_string(i));
    caller.Send(requests.substr(0, 4U << 10U));
    front.arrived.get_future().get();
    send_blocks(requests);
    CHECK(front.Requests() == 32);
  }
}

// Failure: a request is sent on a new connection although its caller has left
// while the connection was opened.
TEST_CASE("a request that nobody waits for is not sent on a new connection") {
  fakes::LoopbackListener listener;
  Links links;
  links.is_wanted = false;
  const auto result = links.Start(listener.address, "a", true).get();
  CHECK(result.end == TransferEnd::kCancelled);
  CHECK_FALSE(result.possibly_sent);
  ServerEnd server(listener);
  CHECK(server.NextError() == ECONNRESET);
}

// Failure: a request is sent on a new connection although its server has said,
// while the connection was opened, that it wants no more.
TEST_CASE("a request is withheld from a server that wants no more by then") {
  fakes::LoopbackListener listener;
  Links links;
  links.may_send = false;
  const auto result = links.Start(listener.address, "a", true).get();
  CHECK(result.end == TransferEnd::kWithheld);
  CHECK_FALSE(result.possibly_sent);
  ServerEnd server(listener);
  CHECK(server.NextError() == ECONNRESET);
}

TEST_CASE("a server that does not listen was not asked") {
  fakes::LoopbackListener listener;
  const Address address = listener.address;
  listener.Close();
  Links links;
  const auto result = links.Start(address, "a", false).get();
  CHECK(result.end == TransferEnd::kNotSent);
  CHECK_FALSE(result.possibly_sent);
  CHECK_FALSE(result.connected);
}

}  // namespace chervilmux::net
