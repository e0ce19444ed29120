// What instances send each other while a large configuration spreads.

#include <doctest/doctest.h>

#include <future>
#include <string>

#include "data_path_ends.h"
#include "kernel/json.h"
#include "kernel/task.h"
#include "loopback_listener.h"
#include "net/compression.h"
#include "net/http_client.h"
#include "net/http_front.h"
#include "node/peer_message.h"

namespace chervilmux::node {
namespace {

/// A configuration of `routes` routes, with names as different as a site's.
std::string LargeConfiguration(int routes) {
  Json::Value json(Json::objectValue);
  json["version"] = 20;
  std::uint64_t random = 1;
  for (int i = 0; i < routes; ++i) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    Json::Value item(Json::objectValue);
    item["type"] = "routes";
    item["metadata"]["name"] = "r-" + std::to_string(random >> 40U);
    Json::Value& spec = item["spec"] = Json::Value(Json::objectValue);
    spec["host"] = "host" + std::to_string(random >> 60U) + ".example";
    spec["prefix"] = "/p" + std::to_string(random >> 48U) + "/";
    spec["kind"] = i % 2 == 0 ? "safe" : "unsafe";
    spec["service"] = "service-" + std::to_string(i % 4);
    spec["timeoutS"] = 1.5;
    spec["sloS"] = 0.6;
    spec["priority"] = i % 3;
    spec["attempts"] = 2;
    json["resources"].append(std::move(item));
  }
  return kernel::PrintJson(json);
}

}  // namespace

// Failure: a large configuration fills the link of a small instance for longer
// than it waits for it, and is asked for again and again.
TEST_CASE("a configuration of 2,800 routes fits a small instance's link") {
  SyncReply reply;
  TableChanges& changes = reply.tables["op"];
  changes.as_of = {1, 7};
  store::Row& row = changes.rows.emplace_back();
  row.key = "config";
  row.version = 7;
  row.value = LargeConfiguration(2800);
  net::HttpRequest request;
  request.headers.push_back({"Accept-Encoding", "gzip"});
  net::HttpAnswer answer = net::PlainAnswer(200, EncodeSyncReply(reply));
  net::CompressFor(request, answer);
  // 10 Mbit/s for a fifth of the time in which a configuration must be in
  // force.
  constexpr std::size_t kMaxBytes = 500'000;
  CHECK(answer.body.size() <= kMaxBytes);
  MESSAGE(answer.body.size() << " bytes");
}

// Failure: an answer that is packed on its way counts as cut, since its body
// has another length than its head states.
TEST_CASE("a compressed answer of a peer arrives as it was made") {
  const std::string body = LargeConfiguration(2800);
  fakes::LoopbackListener listener;
  kernel::ReactorTask task;
  net::HttpClient client(task, 1);
  task.Start();
  std::promise<net::TransferResult> result;
  task.Post([&] {
    net::TransferOptions options;
    options.deadline = kernel::Now() + kernel::seconds(20);
    options.accepts_compressed = true;
    client.Start(
        {"POST", "http://" + listener.address.ToString() + "/k", {}, ""},
        options,
        [&](net::TransferResult end) { result.set_value(std::move(end)); });
  });
  net::ServerEnd peer(listener);
  CHECK(peer.ReadRequest().find("gzip") != std::string::npos);
  net::HttpRequest request;
  request.headers.push_back({"Accept-Encoding", "gzip"});
  net::HttpAnswer answer = net::PlainAnswer(200, body);
  net::CompressFor(request, answer);
  const std::string bytes = net::EncodeAnswer(answer, false, false);
  CHECK(bytes.size() < body.size() / 2);
  SUBCASE("when all of it arrives") {
    CHECK(peer.TrySend(bytes));
    const auto got = result.get_future().get();
    CHECK(got.end == net::TransferEnd::kComplete);
    const bool same = got.answer.body == body;
    CHECK(same);
  }
  SUBCASE("and not when its end is missing") {
    CHECK(peer.TrySend(bytes.substr(0, bytes.size() - 9)));
    peer.Close();
    CHECK(result.get_future().get().end == net::TransferEnd::kTruncated);
  }
  task.Stop();
}

TEST_CASE("a sync answer that is small or for an older build stays plain") {
  net::HttpAnswer large = net::PlainAnswer(200, std::string(10000, 'x'));
  net::HttpAnswer small = net::PlainAnswer(200, "x");
  net::HttpRequest request;
  net::CompressFor(request, large);
  CHECK(large.body.size() == 10000);
  request.headers.push_back({"Accept-Encoding", "gzip"});
  net::CompressFor(request, small);
  CHECK(small.body == "x");
  CHECK(net::FindHeader(small.headers, "content-encoding").empty());
}

}  // namespace chervilmux::node
