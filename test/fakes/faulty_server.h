/// \file
/// Defines a server on the loopback address whose test decides, request by
/// request, which bytes it writes to which of its connections.

#ifndef CHERVILMUX_TEST_FAKES_FAULTY_SERVER_H_
#define CHERVILMUX_TEST_FAKES_FAULTY_SERVER_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "loopback_listener.h"

namespace chervilmux::fakes {

class FaultyServer {
 public:
  /// Called on the server's thread with the number of the connection, counted
  /// from 0, and the whole request.
  using Handler =
      std::function<void(FaultyServer& server, std::size_t connection,
                         const std::string& request)>;

  explicit FaultyServer(Handler handler)
      : handler(std::move(handler)), thread([this] { this->Run(); }) {}
  ~FaultyServer() {
    this->stopping = true;
    this->thread.join();
    for (std::size_t i = 0; i < this->connections.size(); ++i) this->Close(i);
  }
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  const net::Address& Address() const { return this->listener.address; }

  /// The others are for the handler.
  void Send(std::size_t connection, std::string_view bytes) const {
    send(this->connections[connection].descriptor, bytes.data(), bytes.size(),
         MSG_NOSIGNAL);
  }
  void Close(std::size_t connection) {
    int& descriptor = this->connections[connection].descriptor;
    if (descriptor >= 0) close(std::exchange(descriptor, -1));
  }
  void Reset(std::size_t connection) {
    const linger at_once{1, 0};
    setsockopt(this->connections[connection].descriptor, SOL_SOCKET, SO_LINGER,
               &at_once, sizeof(at_once));
    this->Close(connection);
  }

 private:
  struct Connection {
    int descriptor = -1;
    std::string input;
  };

  void Run() {
    constexpr int kWaitMs = 10;
    while (!this->stopping) {
      std::vector<pollfd> polled = {{this->listener.Descriptor(), POLLIN, 0}};
      for (const auto& connection : this->connections) {
        polled.push_back({connection.descriptor, POLLIN, 0});
      }
      poll(polled.data(), polled.size(), kWaitMs);
      for (std::size_t i = 1; i < polled.size(); ++i) {
        if (polled[i].revents != 0) this->Read(i - 1);
      }
      if (polled[0].revents != 0) {
        this->connections.push_back({this->listener.Accept(), ""});
      }
    }
  }

  void Read(std::size_t index) {
    char buffer[4096];
    const int descriptor = this->connections[index].descriptor;
    if (descriptor < 0) return;
    const ssize_t size = recv(descriptor, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      this->Close(index);
      return;
    }
    this->connections[index].input.append(buffer,
                                          static_cast<std::size_t>(size));
    std::string request = this->TakeRequest(this->connections[index].input);
    if (!request.empty()) this->handler(*this, index, request);
  }

  static std::string TakeRequest(std::string& input) {
    constexpr std::string_view kLength = "Content-Length: ";
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) return "";
    std::size_t size = end + 4;
    const auto length = input.find(kLength);
    if (length < end) {
      size += static_cast<std::size_t>(
          std::atol(input.c_str() + length + kLength.size()));
    }
    if (input.size() < size) return "";
    std::string request = input.substr(0, size);
    input.erase(0, size);
    return request;
  }

  Handler handler;
  LoopbackListener listener;
  std::vector<Connection> connections;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_FAULTY_SERVER_H_
