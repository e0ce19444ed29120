#include "net/http_client.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include "loopback_listener.h"

namespace chervilmux::net {
namespace {

/// Answers the first request of each connection and closes the connection when
/// a second one has arrived on it, without an answer: what a server does that
/// gives up an idle connection just as it is used again.
class ClosingServer {
 public:
  ClosingServer() : thread([this] { this->Run(); }) {}

  ~ClosingServer() {
    this->listener.Shutdown();
    this->thread.join();
  }

  std::string Url() const {
    return "http://" + this->listener.address.ToString() + "/k";
  }
  int Requests() const { return this->requests; }

 private:
  /// Reads one request with its body. Returns false at the connection's end.
  static bool ReadRequest(int connection) {
    std::string text;
    char buffer[4096];
    while (true) {
      const auto head_end = text.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        const bool has_body =
            text.find("Content-Length: 5") != std::string::npos;
        if (text.size() >= head_end + 4 + (has_body ? 5 : 0)) return true;
      }
      const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
      if (size <= 0) return false;
      text.append(buffer, static_cast<std::size_t>(size));
    }
  }

  void Run() {
    while (true) {
      const int connection = this->listener.Accept();
      if (connection < 0) return;
      if (ReadRequest(connection)) {
        this->requests += 1;
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (ReadRequest(connection)) this->requests += 1;
      }
      close(connection);
    }
  }

  fakes::LoopbackListener listener;
  std::atomic<int> requests = 0;
  std::thread thread;
};

TransferResult Send(kernel::ReactorTask& task, HttpClient& client,
                    const std::string& url, const std::string& method,
                    bool may_repeat) {
  std::promise<TransferResult> promise;
  task.Post([&] {
    TransferOptions options;
    options.deadline = kernel::Now() + kernel::seconds(20);
    options.may_repeat = may_repeat;
    const std::string body = method == "POST" ? "a=120" : "";
    client.Start({method, url, {}, body}, options, [&](TransferResult result) {
      promise.set_value(std::move(result));
    });
  });
  TransferResult result = promise.get_future().get();
  // The callback must have returned before its promise goes.
  std::promise<void> idle;
  task.Post([&] { idle.set_value(); });
  idle.get_future().wait();
  return result;
}

TEST_CASE("a connection is closed just as it is used again") {
  ClosingServer server;
  kernel::ReactorTask task;
  HttpClient client(task, 4);
  task.Start();
  const auto first = Send(task, client, server.Url(), "GET", true);
  REQUIRE(first.end == TransferEnd::kComplete);
  REQUIRE(server.Requests() == 1);

  SUBCASE("a payment reaches the server once and is reported as possibly run") {
    const auto result = Send(task, client, server.Url(), "POST", false);
    CHECK(result.end == TransferEnd::kBroken);
    CHECK(result.possibly_sent);
    CHECK(server.Requests() == 2);
  }
  SUBCASE("so does a request without a body that must not be repeated") {
    const auto result = Send(task, client, server.Url(), "DELETE", false);
    CHECK(result.end == TransferEnd::kBroken);
    CHECK(server.Requests() == 2);
  }
  SUBCASE("without the guard the library itself would repeat it") {
    const auto result = Send(task, client, server.Url(), "POST", true);
    CHECK(result.end == TransferEnd::kComplete);
    CHECK(server.Requests() == 3);
  }
  task.Stop();
}

TEST_CASE("a server that does not listen was surely not reached") {
  kernel::ReactorTask task;
  HttpClient client(task, 4);
  task.Start();
  const auto result = Send(task, client, "http://127.0.0.1:1/k", "POST", false);
  CHECK(result.end == TransferEnd::kNotSent);
  CHECK(!result.possibly_sent);
  task.Stop();
}

}  // namespace
}  // namespace chervilmux::net
