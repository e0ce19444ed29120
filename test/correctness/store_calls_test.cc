// What the metrics tell about calls to the store.

#include <doctest/doctest.h>

#include <future>
#include <string>

#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/http_client.h"
#include "observe/metrics.h"
#include "store_client.h"

namespace chervilmux::platform {

// Failure: a day with many calls to the store does not tell which they are.
TEST_CASE("calls to the store are counted by kind and table") {
  fakes::LoopbackListener listener;
  kernel::ReactorTask task;
  net::HttpClient client(task, 1);
  observe::Metrics metrics;
  StoreClient store(client, listener.address, metrics);
  task.Start();
  std::promise<void> called;
  task.Post([&] {
    store.List("first", [](const store::RowsReply&) {});
    store.List("first", [](const store::RowsReply&) {});
    store.Follow("second", 7, kernel::seconds(1),
                 [](const store::RowsReply&) {});
    store.Commit({}, [](const store::CommitReply&) {});
    called.set_value();
  });
  called.get_future().get();
  const std::string text = metrics.Print();
  const std::string name = "chervilmux_store_calls_total";
  for (const char* line :
       {"{call=\"list\",table=\"first\"} 2\n",
        "{call=\"follow\",table=\"second\"} 1\n", "{call=\"commit\"} 1\n"}) {
    CHECK(text.find(name + line) != std::string::npos);
  }
  task.Stop();
}

}  // namespace chervilmux::platform
