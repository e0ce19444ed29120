// What callers get when one key gets a third of a keyed service's requests: the
// planner of owners and servers with queues, in virtual time.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "planned_moves.h"
#include "ranges/load_map.h"
#include "ranges/range_planner.h"

namespace chervilmux::scenario {
namespace {

using ranges::Key;
using ranges::kKeyCount;

constexpr Key kHotKey = 12424;
constexpr unsigned kSlots = 6;
constexpr double kWorkS = 0.22;      ///< Of a server of speed 1.
constexpr double kObjectiveS = 0.6;  ///< Answers later than this are late.
constexpr double kBalancePeriodS = 0.7;
constexpr std::array<double, 8> kSpeeds = {0.7, 0.7, 1.6, 0.7,
                                           0.7, 1.6, 0.7, 0.7};

/// A server that works on its requests in order of arrival.
struct Server {
  double work_s = 0;
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;

  /// When a request that arrives at `now` would be answered.
  double AnswerAt(double now) const {
    return std::max(now, this->free_at.top()) + this->work_s;
  }
  void Take(double now) {
    const double answer = this->AnswerAt(now);
    this->free_at.pop();
    this->free_at.push(answer);
  }
};

struct Served {
  double asked = 0;
  double in_time = 0;
  double Share() const { return this->in_time / std::max(1.0, this->asked); }
};

class KeyedService {
 public:
  KeyedService() {
    for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
      const std::string id = "s" + std::to_string(i);
      Server& server = this->servers[id];
      server.work_s = kWorkS / kSpeeds[i];
      for (unsigned slot = 0; slot < kSlots; ++slot) server.free_at.push(0);
      this->planned.push_back({id, "domain", kSlots / server.work_s});
      ranges::PlannerRange range;
      range.first = static_cast<Key>(i * kKeyCount / kSpeeds.size());
      range.last = static_cast<Key>((i + 1) * kKeyCount / kSpeeds.size() - 1);
      range.owner = id;
      this->owned.push_back(range);
    }
  }

  /// Plays requests for `seconds`; a share of `hot` of them is for one key.
  /// Requests that would be answered late are refused, as admission does.
  void Play(double seconds, double per_second, double hot) {
    const double end = this->now + seconds;
    std::exponential_distribution<double> gap(per_second);
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::uint32_t> any_key(0, kKeyCount - 1);
    while (this->now < end) {
      this->now += gap(this->random);
      const bool is_hot = chance(this->random) < hot;
      const Key key =
          is_hot ? kHotKey : static_cast<Key>(any_key(this->random));
      this->Ask(key, is_hot ? this->hot_key : this->others);
      if (this->now >= this->next_balance) this->Balance();
    }
  }

  void ForgetCounts() { this->hot_key = this->others = {}; }

  Served hot_key;
  Served others;

 private:
  void Ask(Key key, Served& served) {
    const ranges::BucketCount count{
        static_cast<std::uint16_t>(key / ranges::kKeysPerBucket), 1};
    this->load.Add({&count, 1});
    served.asked += 1;
    Server& server = this->servers.at(this->OwnerOf(key));
    if (server.AnswerAt(this->now) - this->now > kObjectiveS) return;
    server.Take(this->now);
    served.in_time += 1;
  }

  std::string OwnerOf(Key key) const {
    const auto found = std::ranges::find_if(this->owned, [key](const auto& r) {
      return r.first <= key && key <= r.last;
    });
    return found->owner;
  }

  void Balance() {
    this->next_balance = this->now + kBalancePeriodS;
    this->load.UpdateRates(kernel::Instant(kernel::FromSeconds(1 + this->now)));
    for (const auto& move :
         ranges::PlanBalancingMoves(this->owned, this->planned, this->load)) {
      this->owned = fakes::CarryOut(this->owned, move);
    }
  }

  double now = 0;
  double next_balance = 0;
  std::mt19937_64 random{20261204};
  std::map<std::string, Server> servers;
  std::vector<ranges::PlannerServer> planned;
  std::vector<ranges::PlannerRange> owned;
  ranges::LoadMap load;
};

}  // namespace

TEST_CASE("a keyed service at a third of its capacity, owners of two speeds") {
  KeyedService service;
  constexpr double kPerSecond = 90;
  service.Play(10, kPerSecond, 0);
  service.ForgetCounts();
  SUBCASE("on a calm day all callers are answered in time") {
    service.Play(10, kPerSecond, 0);
    CHECK(service.others.Share() > 0.99);
  }
  SUBCASE("one key gets a third of the requests, at a slow server") {
    service.Play(2, kPerSecond, 0.33);
    service.ForgetCounts();
    service.Play(5, kPerSecond, 0.33);
    // 30 requests a second: the quick servers carry 43, the slow ones 19.
    THEN("two seconds later its callers are answered in time") {
      CHECK(service.hot_key.Share() > 0.95);
    }
    THEN("callers of other keys are, too") {
      CHECK(service.others.Share() > 0.95);
    }
  }
  SUBCASE("one key gets more than any server carries") {
    service.Play(2, kPerSecond, 0.7);
    service.ForgetCounts();
    service.Play(5, kPerSecond, 0.7);
    THEN("its callers get nearly all that a quick server carries") {
      const double carried = kSlots * 1.6 / kWorkS * 5;
      CHECK(service.hot_key.in_time > 0.9 * carried);
    }
    THEN("callers of other keys do not pay for it") {
      CHECK(service.others.Share() > 0.95);
    }
  }
}

}  // namespace chervilmux::scenario
