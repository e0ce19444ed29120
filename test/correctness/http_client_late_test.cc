// A client whose task is behind.

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

constexpr kernel::Duration kTime = milliseconds(500);
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

}  // namespace chervilmux::net
