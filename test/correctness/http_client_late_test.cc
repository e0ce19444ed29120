// A client whose task is behind: deadlines are over by the time at which it
// reads what had arrived before.

#include <doctest/doctest.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/http_client.h"
#include "pause.h"

namespace chervilmux::net {
namespace {

using fakes::LoopbackListener;
using fakes::Pause;
using kernel::milliseconds;
using kernel::seconds;

constexpr kernel::Duration kTime = seconds(1);
/// Within this an end that is due comes, on a slow machine too.
constexpr seconds kPatience = seconds(10);
/// The time that a client gets to do what it must not do.
constexpr auto kUnwanted = milliseconds(300);

/// Waits until `holds`. Returns whether it does.
bool Await(const std::function<bool()>& holds) {
  const auto until = kernel::Now() + kPatience;
  while (!holds() && kernel::Now() < until)
    std::this_thread::sleep_for(milliseconds(5));
  return holds();
}

/// A client on a task of its own. Counts the ends, each of which is one.
class LateClient {
 public:
  explicit LateClient(long max_connections = 4)
      : client(std::make_unique<HttpClient>(this->task, max_connections)) {
    this->task.Start();
  }
  ~LateClient() {
    this->Do([this] { this->client.reset(); });
    this->task.Stop();
  }
  LateClient(const LateClient&) = delete;
  LateClient& operator=(const LateClient&) = delete;

  /// Runs `action` on the client's task.
  void Do(const std::function<void()>& action) {
    std::promise<void> done;
    this->task.Post([&] {
      action();
      done.set_value();
    });
    done.get_future().get();
  }

  /// Call on the client's task.
  std::future<TransferResult> StartHere(const LoopbackListener& listener,
                                        kernel::Duration time) {
    auto promise = std::make_shared<std::promise<TransferResult>>();
    TransferOptions options;
    options.deadline = kernel::Now() + time;
    options.may_repeat = true;
    const std::string url = "http://" + listener.address.ToString() + "/k";
    this->client->Start({"GET", url, {}, ""}, options,
                        [this, promise](TransferResult result) {
                          this->ends += 1;
                          promise->set_value(std::move(result));
                        });
    return promise->get_future();
  }
  std::future<TransferResult> Start(const LoopbackListener& listener,
                                    kernel::Duration time = kTime) {
    std::future<TransferResult> result;
    this->Do([&] { result = this->StartHere(listener, time); });
    return result;
  }

  kernel::ReactorTask task;
  std::unique_ptr<HttpClient> client;
  std::atomic<int> ends = 0;
};

/// A call on `descriptor` that waits in vain gives up.
void SetPatience(int descriptor) {
  const timeval patience{kPatience.count(), 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
}

int AcceptSoon(const LoopbackListener& listener) {
  SetPatience(listener.Descriptor());
  return listener.Accept();
}

/// The server's end of one connection.
class Server {
 public:
  explicit Server(const LoopbackListener& listener)
      : descriptor(AcceptSoon(listener)) {
    SetPatience(this->descriptor);
  }
  ~Server() { this->Close(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }
  /// The head of a request; shorter if the connection ends.
  std::string ReadRequest() const {
    std::string got;
    char buffer[1024];
    while (got.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      got.append(buffer, static_cast<std::size_t>(size));
    }
    return got;
  }
  /// Returns when `bytes` lie in the client's socket.
  void Send(std::string_view bytes) const {
    CHECK(send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
    CHECK(Await([this] {
      int unacknowledged = 1;
      return ioctl(this->descriptor, SIOCOUTQ, &unacknowledged) == 0 &&
             unacknowledged == 0;
    }));
  }
  void Answer(std::string_view body) const {
    this->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
  }
  bool HasArrived() const {
    char byte = 0;
    return recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  /// Whether the client closes the connection soon.
  bool IsClosed() const {
    char byte = 0;
    const ssize_t size = recv(this->descriptor, &byte, 1, 0);
    return size == 0 || (size < 0 && errno == ECONNRESET);
  }

 private:
  int descriptor;
};

/// Whether a connection to `listener` waits to be accepted.
bool HasConnection(const LoopbackListener& listener) {
  pollfd entry{listener.Descriptor(), POLLIN, 0};
  return poll(&entry, 1, 0) == 1;
}

/// Connects to `listener` without a client. Returns the descriptor.
int Connect(const LoopbackListener& listener) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const ACE_INET_Addr to = listener.address.ToAce();
  REQUIRE(connect(descriptor, static_cast<const sockaddr*>(to.get_addr()),
                  static_cast<socklen_t>(to.get_size())) == 0);
  return descriptor;
}

/// Holds `client` until after `result`'s deadline, while `arrive` happens in
/// time.
void HoldPastDeadline(LateClient& client, const std::function<void()>& arrive) {
  const Pause pause(client.task);
  arrive();
  std::this_thread::sleep_for(kTime + milliseconds(200));
}

TransferResult EndOf(std::future<TransferResult>& result) {
  REQUIRE(result.wait_for(kPatience) == std::future_status::ready);
  return result.get();
}

}  // namespace

// Failure: an instance that is behind uses up a request's time before it sends
// the request.
TEST_CASE("a request that the client's task has started") {
  LoopbackListener listener;
  LateClient client;
  std::future<TransferResult> result;
  const auto start = [&] { result = client.StartHere(listener, kPatience); };
  SUBCASE("opens its connection while the task does other things") {
    {
      const Pause pause(client.task, start);
      CHECK(Await([&] { return HasConnection(listener); }));
    }
    const Server server(listener);
    CHECK(server.ReadRequest().starts_with("GET /k"));
    server.Answer("one");
    CHECK(EndOf(result).answer.body == "one");
  }
  SUBCASE("arrives on an open connection while the task does other things") {
    client.Do(start);
    const Server server(listener);
    REQUIRE(server.ReadRequest().starts_with("GET /k"));
    server.Answer("one");
    CHECK(EndOf(result).answer.body == "one");
    {
      const Pause pause(client.task, start);
      CHECK(server.ReadRequest().starts_with("GET /k"));
      server.Answer("two");
      CHECK(client.ends == 1);
    }
    CHECK(EndOf(result).answer.body == "two");
    CHECK(client.ends == 2);
  }
  SUBCASE("is refused later, not within the call that starts it") {
    listener.Close();
    client.Do([&] {
      start();
      CHECK(client.ends == 0);
    });
    CHECK(EndOf(result).end == TransferEnd::kNotSent);
  }
}

// Failure: a peer or the store that answered in time counts as silent.
TEST_CASE("an answer that arrived in time while the client was behind") {
  LoopbackListener listener;
  LateClient client;
  auto result = client.Start(listener);
  Server server(listener);
  REQUIRE(server.ReadRequest().starts_with("GET /k"));

  SUBCASE("counts when it is whole") {
    HoldPastDeadline(client, [&] { server.Answer("one"); });
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kComplete);
    CHECK(got.answer.body == "one");
  }
  SUBCASE("counts when it takes many reads") {
    const std::string body(48U << 10U, 'x');
    HoldPastDeadline(client, [&] { server.Answer(body); });
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kComplete);
    CHECK((got.answer.body == body));
  }
  SUBCASE("counts when it came on a connection used before") {
    server.Answer("first");
    REQUIRE(EndOf(result).end == TransferEnd::kComplete);
    result = client.Start(listener);
    REQUIRE(server.ReadRequest().starts_with("GET /k"));
    HoldPastDeadline(client, [&] { server.Answer("second"); });
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kComplete);
    CHECK(got.answer.body == "second");
    CHECK(got.reused_connection);
  }
  SUBCASE("counts when the connection's end is that of the answer") {
    HoldPastDeadline(client, [&] {
      server.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall");
      server.Close();
    });
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kComplete);
    CHECK(got.answer.body == "all");
  }
  SUBCASE("counts on one of two sockets, the other of which is silent") {
    LoopbackListener other;
    auto silent = client.Start(other);
    const Server second(other);
    REQUIRE(second.ReadRequest().starts_with("GET /k"));
    HoldPastDeadline(client, [&] { server.Answer("one"); });
    CHECK(EndOf(result).end == TransferEnd::kComplete);
    CHECK(EndOf(silent).end == TransferEnd::kTimedOut);
    CHECK(second.IsClosed());
  }
  SUBCASE("counts on both of two sockets") {
    LoopbackListener other;
    auto also = client.Start(other);
    const Server second(other);
    REQUIRE(second.ReadRequest().starts_with("GET /k"));
    HoldPastDeadline(client, [&] {
      second.Answer("two");
      server.Answer("one");
    });
    CHECK(EndOf(result).end == TransferEnd::kComplete);
    CHECK(EndOf(also).end == TransferEnd::kComplete);
  }
  SUBCASE("does not count when its end is missing") {
    HoldPastDeadline(client, [&] {
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    });
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kTimedOut);
    CHECK(got.possibly_sent);
    CHECK(server.IsClosed());
  }
}

// Failure: a request is sent although its deadline is over, since its time
// begins when the client gets to it.
TEST_CASE("a request whose deadline is over before it can be sent") {
  LoopbackListener listener(0);
  LateClient client(1);
  SUBCASE("is not sent when it is over at the start") {
    auto result = client.Start(listener, -milliseconds(1));
    const auto got = EndOf(result);
    CHECK(got.end == TransferEnd::kNotSent);
    CHECK(!got.possibly_sent);
    std::this_thread::sleep_for(kUnwanted);
    if (HasConnection(listener)) CHECK(Server(listener).ReadRequest().empty());
  }
  SUBCASE("is not sent on a connection that opened late") {
    // The queue of new connections is full; the system tries again after 1 s.
    const int filler = Connect(listener);
    std::future<TransferResult> result;
    {
      const Pause pause(client.task, [&] {
        result = client.StartHere(listener, milliseconds(800));
      });
      REQUIRE(Await([&] { return HasConnection(listener); }));
      close(listener.Accept());
      REQUIRE(Await([&] { return HasConnection(listener); }));
    }
    CHECK(EndOf(result).end == TransferEnd::kNotSent);
    CHECK(Server(listener).ReadRequest().empty());
    close(filler);
  }
  SUBCASE("is not sent when it waited for a connection") {
    auto first = client.Start(listener, 2 * kPatience);
    const Server server(listener);
    REQUIRE(server.ReadRequest().starts_with("GET /k"));
    auto second = client.Start(listener);
    const auto got = EndOf(second);
    CHECK(got.end == TransferEnd::kNotSent);
    server.Answer("one");
    CHECK(EndOf(first).end == TransferEnd::kComplete);
    std::this_thread::sleep_for(kUnwanted);
    CHECK(!HasConnection(listener));
  }
  SUBCASE("is not sent when the connection it waited for came free late") {
    auto first = client.Start(listener, kPatience);
    const Server server(listener);
    REQUIRE(server.ReadRequest().starts_with("GET /k"));
    auto second = client.Start(listener);
    HoldPastDeadline(client, [&] { server.Answer("one"); });
    CHECK(EndOf(first).end == TransferEnd::kComplete);
    CHECK(EndOf(second).end == TransferEnd::kNotSent);
    std::this_thread::sleep_for(kUnwanted);
    CHECK(!server.HasArrived());
  }
}

TEST_CASE("a server that does not answer") {
  LoopbackListener listener;
  LateClient client(1);
  auto result = client.Start(listener);
  const Server server(listener);
  REQUIRE(server.ReadRequest().starts_with("GET /k"));

  SUBCASE("is given up at the deadline") {
    CHECK(EndOf(result).end == TransferEnd::kTimedOut);
  }
  SUBCASE("is given up when the client has caught up") {
    HoldPastDeadline(client, [] {});
    CHECK(EndOf(result).end == TransferEnd::kTimedOut);
  }
  SUBCASE("is given up at the earlier of two deadlines first") {
    LoopbackListener other;
    auto longer = client.Start(other, kPatience);
    CHECK(EndOf(result).end == TransferEnd::kTimedOut);
    CHECK(client.ends == 1);
    const Server second(other);
    REQUIRE(second.ReadRequest().starts_with("GET /k"));
    second.Answer("two");
    CHECK(EndOf(longer).end == TransferEnd::kComplete);
  }
  SUBCASE("cannot answer the next request with a late answer") {
    CHECK(EndOf(result).end == TransferEnd::kTimedOut);
    CHECK(server.IsClosed());
    auto next = client.Start(listener, kPatience);
    const Server second(listener);
    REQUIRE(second.ReadRequest().starts_with("GET /k"));
    second.Answer("next");
    CHECK(EndOf(next).answer.body == "next");
  }
  // Each request has one end.
  client.Do([] {});
  const int ends = client.ends;
  std::this_thread::sleep_for(kUnwanted);
  CHECK(client.ends == ends);
}

}  // namespace chervilmux::net
