// A server that takes no connection: the client's watches of sockets that
// libcurl gives up while they connect.

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <string>
#include <vector>

#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/http_client.h"

namespace chervilmux {
namespace {

/// Listens, but its queue of new connections is full: further ones hang.
class FullListener {
 public:
  FullListener() : listener(0) {
    const ACE_INET_Addr to = this->listener.address.ToAce();
    for (int i = 0; i < 4; ++i) {
      const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const int status =
          connect(filler, static_cast<const sockaddr*>(to.get_addr()),
                  static_cast<socklen_t>(to.get_size()));
      REQUIRE((status == 0 || errno == EINPROGRESS));
      this->fillers.push_back(filler);
    }
  }
  ~FullListener() {
    for (const int filler : this->fillers) close(filler);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::string Url() const {
    return "http://" + this->listener.address.ToString() + "/";
  }

 private:
  fakes::LoopbackListener listener;
  std::vector<int> fillers;
};

/// Fires when readable; counts.
class Reader : public ACE_Event_Handler {
 public:
  explicit Reader(int descriptor) : descriptor(descriptor) {}
  ACE_HANDLE get_handle() const override { return this->descriptor; }
  int handle_input(ACE_HANDLE /*handle*/) override {
    char byte = 0;
    if (read(this->descriptor, &byte, 1) == 1) this->got.set_value();
    return 0;
  }
  std::promise<void> got;

 private:
  int descriptor;
};

}  // namespace

TEST_CASE("a client whose server takes no connection") {
  FullListener listener;
  kernel::ReactorTask task;
  auto client = std::make_unique<net::HttpClient>(task, 4);
  task.Start();

  GIVEN("a request that was given up while it connected") {
    std::promise<net::TransferEnd> ended;
    task.Post([&] {
      net::HttpRequest request;
      request.method = "GET";
      request.url = listener.Url();
      net::TransferOptions options;
      options.deadline = kernel::Now() + kernel::milliseconds(50);
      client->Start(request, options, [&](const net::TransferResult& result) {
        ended.set_value(result.end);
      });
    });
    CHECK(ended.get_future().get() == net::TransferEnd::kNotSent);

    THEN("its descriptor can be watched by others") {
      // New descriptors take the lowest free number: the one just closed.
      int pair[2] = {-1, -1};
      std::unique_ptr<Reader> reader;
      std::promise<int> registered;
      task.Post([&] {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
        reader = std::make_unique<Reader>(pair[0]);
        registered.set_value(task.Reactor().register_handler(
            reader.get(), ACE_Event_Handler::READ_MASK));
      });
      CHECK(registered.get_future().get() == 0);
      const char byte = 'x';
      CHECK(write(pair[1], &byte, 1) == 1);
      reader->got.get_future().get();
      std::promise<void> removed;
      task.Post([&] {
        task.Reactor().remove_handler(
            reader.get(),
            ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        removed.set_value();
      });
      removed.get_future().get();
      close(pair[0]);
      close(pair[1]);
    }
  }
  std::promise<void> gone;
  task.Post([&] {
    client.reset();
    gone.set_value();
  });
  gone.get_future().get();
  task.Stop();
}

}  // namespace chervilmux
