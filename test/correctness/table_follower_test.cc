// The copy of a store table while the store's calls fail or hang, or while the
// store comes back from an older copy.

#include "node/table_follower.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
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
    this->listings += 1;
    this->calls.push_back(std::move(done));
  }
  void Follow(std::string_view /*table*/, std::uint64_t /*version*/,
              kernel::Duration /*wait*/, Done done) override {
    this->calls.push_back(std::move(done));
  }
  void Commit(const store::Transaction& /*transaction*/,
              std::function<void(store::CommitReply)> /*done*/) override {}

  /// Answers call `number` with one row.
  void Answer(std::size_t number, const std::string& key, std::uint64_t version,
              std::uint64_t era = 0) {
    store::RowsReply reply;
    reply.status = store::StoreStatus::kDone;
    reply.version = version;
    reply.era = era;
    store::Row& row = reply.rows.emplace_back();
    row.key = key;
    row.version = version;
    this->calls.at(number)(reply);
  }

  /// Answers call `number` without rows.
  void Answer(std::size_t number, store::StoreStatus status, std::uint64_t era,
              std::uint64_t version = 0) {
    store::RowsReply reply;
    reply.status = status;
    reply.version = version;
    reply.era = era;
    this->calls.at(number)(reply);
  }

  std::vector<Done> calls;
  std::size_t listings = 0;  ///< Of the calls.
};

/// A whole table of one row, as a peer sends it.
TableChanges WholeTable(const std::string& key, std::uint64_t version,
                        std::uint64_t era) {
  TableChanges changes;
  changes.all = true;
  changes.as_of = {era, version};
  store::Row& row = changes.rows.emplace_back();
  row.key = key;
  row.version = version;
  return changes;
}

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

namespace {

/// Later than all that the test has done, also where the clock is coarse.
Instant AfterAll() {
  std::this_thread::sleep_for(milliseconds(2));
  return kernel::Now();
}

}  // namespace

// Failure: an instance takes its copy of the servers for fresh while nobody has
// answered about the servers for seconds, and sends requests to one that has
// left.
TEST_CASE("a copy is proved by answers about its own table") {
  OpenStore store;
  Instant known_at_news;
  TableFollower* reader = nullptr;
  TableFollower follower(store, "servers", milliseconds(700),
                         {[&] { known_at_news = reader->KnownAsOf(); }, [] {}});
  reader = &follower;
  CHECK(follower.KnownAsOf() == kernel::kNever);
  const Instant start = kernel::Now();
  follower.CheckTime(start);
  store.Answer(0, "a", 5, 1);
  const Instant listed = follower.KnownAsOf();
  CHECK(listed >= start);
  // The pause after news is over.
  const Instant waiting = AfterAll() + seconds(1);
  follower.CheckTime(waiting);
  REQUIRE(store.calls.size() == 2);

  SUBCASE("not by a call that waits or fails") {
    CHECK(follower.KnownAsOf() == listed);
    store.Answer(1, store::StoreStatus::kNoAnswer, 0);
    CHECK(follower.KnownAsOf() == listed);
  }
  SUBCASE("also by one without changes") {
    store.Answer(1, store::StoreStatus::kDone, 1, 6);
    CHECK(follower.KnownAsOf() > listed);
  }
  SUBCASE("and news find the proof of the copy before") {
    store.Answer(1, "b", 6, 1);
    CHECK(known_at_news == listed);
    CHECK(follower.KnownAsOf() > listed);
  }
  SUBCASE("by a peer whose copy is as new") {
    const Instant asked_at = AfterAll();
    follower.ApplyPeerProof({1, 5}, {asked_at});
    CHECK(follower.KnownAsOf() == asked_at);
    SUBCASE("which proves no less when it is told late") {
      follower.ApplyPeerProof({1, 5}, {listed});
      CHECK(follower.KnownAsOf() == asked_at);
    }
  }
  SUBCASE("not by a peer whose changes are not known here") {
    follower.ApplyPeerProof({1, 6}, {AfterAll()});
    CHECK(follower.KnownAsOf() == listed);
  }
  SUBCASE("not by a peer that lacks changes which are known here") {
    follower.ApplyPeerProof({1, 4}, {AfterAll()});
    CHECK(follower.KnownAsOf() == listed);
  }
  SUBCASE("not by a peer with a copy of another era") {
    follower.ApplyPeerProof({0, 5}, {AfterAll()});
    follower.ApplyPeerProof({2, 5}, {AfterAll()});
    CHECK(follower.KnownAsOf() == listed);
  }
}

// Failure: an instance that alone cannot reach the store makes the others take
// servers that have left for ones that the store's outage has hidden.
TEST_CASE("a proof tells whether the store failed whoever gave it") {
  OpenStore store;
  TableFollower follower(store, "servers", milliseconds(700), {[] {}, [] {}});
  const auto call = [&] { follower.CheckTime(AfterAll() + seconds(1)); };
  const auto fail = [&] {
    call();
    store.Answer(store.calls.size() - 1, store::StoreStatus::kNoAnswer, 0);
  };
  const auto answer = [&] {
    call();
    store.Answer(store.calls.size() - 1, store::StoreStatus::kDone, 1, 9);
  };
  const auto failed_at = [&] { return follower.Proof().store_failed_at; };
  follower.CheckTime(kernel::Now());
  store.Answer(0, "a", 5, 1);
  CHECK(failed_at() == kernel::kNever);

  SUBCASE("a failure here counts while the proof is the store's own") {
    fail();
    CHECK(failed_at() != kernel::kNever);
    SUBCASE("and still when the store answers again") {
      const Instant before = failed_at();
      answer();
      CHECK(failed_at() == before);
    }
    SUBCASE("until a peer proves that the store has answered it") {
      follower.ApplyPeerProof({1, 5}, {AfterAll()});
      CHECK(failed_at() == kernel::kNever);
      SUBCASE("and further ones are no failures of the store") {
        fail();
        CHECK(failed_at() == kernel::kNever);
      }
      SUBCASE("but a proof that is older changes nothing") {
        follower.ApplyPeerProof(
            {1, 5}, {kernel::Now() - seconds(1), kernel::Now() - seconds(2)});
        CHECK(failed_at() == kernel::kNever);
      }
    }
  }
  SUBCASE("a failure that a peer met counts with its proof") {
    const Instant peer_failed_at = kernel::Now() - milliseconds(300);
    follower.ApplyPeerProof({1, 5}, {AfterAll(), peer_failed_at});
    CHECK(failed_at() == peer_failed_at);
    SUBCASE("not with the store's own answer") {
      answer();
      CHECK(failed_at() == kernel::kNever);
    }
  }
  SUBCASE("a failure here counts when nobody has heard the store lately") {
    TableFollower late(store, "servers", milliseconds(700), {[] {}, [] {}});
    late.ApplyFromPeer(WholeTable("a", 5, 1));
    late.ApplyPeerProof({1, 5}, {kernel::Now() - seconds(2)});
    late.CheckTime(kernel::Now());
    store.Answer(store.calls.size() - 1, store::StoreStatus::kNoAnswer, 0);
    CHECK(late.Proof().store_failed_at != kernel::kNever);
  }
}

// Failure: an instance that stood still reads an answer from before, and tells
// its peers that it knows the servers as they are now.
TEST_CASE("an answer that was held up proves nothing about the time since") {
  OpenStore store;
  TableFollower follower(store, "servers", milliseconds(700), {[] {}, [] {}});
  const Instant called_at = kernel::Now() - seconds(4);
  follower.CheckTime(called_at);
  store.Answer(0, "a", 5, 1);
  CHECK(follower.KnownAsOf() >= called_at);
  CHECK(follower.KnownAsOf() <= called_at + milliseconds(500));
  follower.CheckTime(called_at + seconds(10));
  REQUIRE(store.calls.size() == 2);
}

TEST_CASE("a follower whose store comes back from an older copy") {
  OpenStore store;
  int news = 0;
  int failures = 0;
  TableFollower follower(
      store, "servers", seconds(5),
      {[&news] { news += 1; }, [&failures] { failures += 1; }});
  const Instant start(seconds(100));
  follower.CheckTime(start);
  store.Answer(0, "lost", 50, 1);
  Instant now = kernel::Now() + seconds(1);
  follower.CheckTime(now);
  REQUIRE(store.calls.size() == 2);
  const auto call_again = [&] {
    now = kernel::Now() + seconds(1);
    follower.CheckTime(now);
  };

  const auto list_anew = [&] {
    CHECK(failures == 0);
    CHECK_FALSE(follower.Copy().Rows().contains("a"));
    call_again();
    REQUIRE(store.calls.size() == 3);
    CHECK(store.listings == 2);
    store.Answer(2, "b", 40, 2);
    CHECK(follower.Copy().Rows().size() == 1);
    CHECK(follower.Copy().Rows().contains("b"));
    CHECK(follower.Copy().Version() == 40);
    CHECK(news == 2);
  };
  SUBCASE("it lists anew after changes under versions given out again") {
    store.Answer(1, "a", 60, 2);
    list_anew();
  }
  SUBCASE("it lists anew after an answer without changes") {
    store.Answer(1, store::StoreStatus::kDone, 2, 40);
    list_anew();
  }
  SUBCASE("it lists anew after a refusal") {
    store.Answer(1, store::StoreStatus::kRejected, 2);
    list_anew();
  }
  SUBCASE("it lists anew when the store does not have its version") {
    store.Answer(1, store::StoreStatus::kHistoryGone, 2);
    list_anew();
    SUBCASE("and then follows from the version of the listing") {
      call_again();
      store.Answer(3, "c", 41, 2);
      CHECK(follower.Copy().Rows().contains("c"));
      CHECK(store.listings == 2);
    }
    SUBCASE("and a second time") {
      call_again();
      store.Answer(3, store::StoreStatus::kHistoryGone, 3);
      call_again();
      store.Answer(4, "d", 30, 3);
      CHECK(follower.Copy().Rows().contains("d"));
      CHECK(follower.Copy().Rows().size() == 1);
    }
    SUBCASE("and ignores what the earlier era answers late") {
      call_again();
      store.Answer(3, "late", 90, 1);
      CHECK_FALSE(follower.Copy().Rows().contains("late"));
      CHECK(news == 2);
      CHECK(failures == 0);
      // It pauses before the next call.
      follower.CheckTime(kernel::Now() + milliseconds(50));
      CHECK(store.calls.size() == 4);
      call_again();
      CHECK(store.calls.size() == 5);
    }
  }
  SUBCASE("a listing that is older than the copy is repeated with a pause") {
    store.Answer(1, store::StoreStatus::kHistoryGone, 1);
    for (std::size_t call = 2; call < 6; ++call) {
      call_again();
      REQUIRE(store.calls.size() == call + 1);
      store.Answer(call, "old", 40, 1);
      follower.CheckTime(kernel::Now() + milliseconds(100));
      CHECK(store.calls.size() == call + 1);
      CHECK(follower.Copy().Version() == 50);
    }
  }
  SUBCASE("an era that another table has seen ends the waiting call") {
    follower.NoteEra(2);
    call_again();
    REQUIRE(store.calls.size() == 3);
    CHECK(store.listings == 2);
    store.Answer(1, "late", 51, 1);
    CHECK_FALSE(follower.Copy().Rows().contains("late"));
    SUBCASE("and a listing of the earlier era is not taken") {
      store.Answer(2, "late", 51, 1);
      CHECK_FALSE(follower.Copy().Rows().contains("late"));
      call_again();
      CHECK(store.listings == 3);
    }
  }
  SUBCASE("a peer's table of the later era replaces the copy") {
    follower.ApplyFromPeer(WholeTable("b", 40, 2));
    CHECK(follower.Copy().Rows().size() == 1);
    CHECK(follower.Copy().Rows().contains("b"));
    CHECK(news == 2);
    SUBCASE("so the changes after a version of the earlier era do not fit") {
      store.Answer(1, "late", 60, 2);
      CHECK_FALSE(follower.Copy().Rows().contains("late"));
      CHECK(follower.Copy().Version() == 40);
      call_again();
      store.Answer(2, "c", 41, 2);
      CHECK(follower.Copy().Rows().contains("c"));
      CHECK(store.listings == 1);
    }
    SUBCASE("and a peer's table of the earlier one is ignored") {
      follower.ApplyFromPeer(WholeTable("late", 70, 1));
      CHECK_FALSE(follower.Copy().Rows().contains("late"));
      CHECK(news == 2);
    }
  }
}

}  // namespace chervilmux::node
