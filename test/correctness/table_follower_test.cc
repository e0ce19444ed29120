// The copy of a store table while the store's calls fail or hang.

#include "node/table_follower.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace chervilmux::node {
namespace {

using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

/// A store whose calls stay open until the test answers them.
class OpenStore : public store::MetadataStore {
 public:
  using Done = std::function<void(store::RowsReply)>;

  void List(std::string_view /*table*/, Done done) override {
    this->calls.push_back(std::move(done));
  }
  void Follow(std::string_view /*table*/, std::uint64_t /*version*/,
              kernel::Duration /*wait*/, Done done) override {
    this->calls.push_back(std::move(done));
  }
  void Commit(const store::Transaction& /*transaction*/,
              std::function<void(store::CommitReply)> /*done*/) override {}

  /// Answers call `number` with one row.
  void Answer(std::size_t number, const std::string& key,
              std::uint64_t version) {
    store::RowsReply reply;
    reply.status = store::StoreStatus::kDone;
    reply.version = version;
    store::Row& row = reply.rows.emplace_back();
    row.key = key;
    row.version = version;
    this->calls.at(number)(reply);
  }

  std::vector<Done> calls;
};

}  // namespace

TEST_CASE("a follower whose connection to the store falls silent") {
  OpenStore store;
  int news = 0;
  TableFollower follower(store, "servers", seconds(5),
                         {[&news] { news += 1; }, [] {}});
  const Instant start(seconds(100));
  follower.CheckTime(start);
  store.Answer(0, "a", 5);
  // The pause after news is over.
  const Instant waiting = kernel::Now() + seconds(1);
  follower.CheckTime(waiting);
  REQUIRE(store.calls.size() == 2);

  SUBCASE("its waiting call is made again when another call has failed") {
    follower.Renew(waiting + milliseconds(1500));
    follower.CheckTime(waiting + milliseconds(1500));
    REQUIRE(store.calls.size() == 3);
    store.Answer(2, "b", 6);
    CHECK(follower.Copy().Rows().contains("b"));
    CHECK(news == 2);
    SUBCASE("and what the first one brings late changes nothing") {
      store.Answer(1, "c", 7);
      CHECK_FALSE(follower.Copy().Rows().contains("c"));
      CHECK(news == 2);
    }
  }
  SUBCASE("a call that has just been made is waited for") {
    follower.Renew(waiting + milliseconds(500));
    follower.CheckTime(waiting + milliseconds(500));
    CHECK(store.calls.size() == 2);
  }
}

}  // namespace chervilmux::node
