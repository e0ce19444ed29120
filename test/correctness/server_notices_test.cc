// Guards what this instance knows from servers' own answers. Failures: requests
// reach a server that said it drains, or a healthy server gets none because of
// what another one said.

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "policy/server_loads.h"

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

constexpr unsigned kServers = 8;

/// One service with servers s0 to s7 in their first life, in virtual time.
class NoticeService {
 public:
  NoticeService() : loads("a") {
    for (unsigned i = 0; i < kServers; ++i) {
      model::BackendServer server;
      server.id = "s" + std::to_string(i);
      server.failure_domain = "a";
      server.slots = 4;
      server.life = 1;
      this->servers.push_back(std::move(server));
    }
    this->List();
  }

  void List() { this->loads.Update(this->servers, this->now, this->now); }

  std::optional<std::string> Choose() {
    return this->loads.ChooseServer({}, this->now, [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    });
  }

  /// How many of `count` requests, each served in 20 ms, each server gets.
  std::map<std::string, int> Serve(int count) {
    std::map<std::string, int> requests;
    for (int i = 0; i < count; ++i) {
      const auto id = this->Choose();
      if (!id) continue;
      requests[*id] += 1;
      this->loads.OnSent(*id);
      this->now += milliseconds(20);
      this->loads.OnCompletion(*id, AttemptOutcome::kServed, milliseconds(20),
                               std::nullopt, this->now);
    }
    return requests;
  }

  std::vector<model::BackendServer> servers;
  ServerLoads loads;
  Instant now = Instant(seconds(10));
  std::mt19937_64 random{7};
};

const ServerRun kFirstRun{"s0", 1};

}  // namespace

// Failure: a server that said in an answer that it drains gets requests beyond
// its bound, because an older list or a restored store calls it ready.
TEST_CASE("a server that says that it drains") {
  NoticeService service;
  const Instant told_at = service.now;
  const Instant deadline = told_at + model::kLeavingServerGracePeriod;
  CHECK(service.loads.OnDraining(kFirstRun, "r-1", told_at));
  SUBCASE("gets no request that another server can take, from then on") {
    CHECK_FALSE(service.Serve(400).contains("s0"));
    CHECK(service.loads.UsableSlots(service.now) == (kServers - 1) * 4);
  }
  SUBCASE("leaves its load to all others, not to the next one") {
    const auto requests = service.Serve(700);
    for (unsigned i = 1; i < kServers; ++i) {
      CHECK(requests.at("s" + std::to_string(i)) > 50);
      CHECK(requests.at("s" + std::to_string(i)) < 200);
    }
  }
  SUBCASE("serves its keys until a deadline that later answers do not move") {
    service.now += milliseconds(1000);
    CHECK_FALSE(service.loads.OnDraining(kFirstRun, "r-2", service.now));
    CHECK(service.loads.DrainDeadline("s0") == deadline);
    CHECK(service.loads.MaySend(kFirstRun, true, deadline));
    CHECK_FALSE(
        service.loads.MaySend(kFirstRun, true, deadline + milliseconds(1)));
  }
  SUBCASE("gets nothing on a connection that opens only now") {
    CHECK_FALSE(service.loads.MaySend(kFirstRun, false, told_at));
    CHECK(service.loads.MaySend({"s1", 1}, false, told_at));
  }
  SUBCASE("stays so when an older list calls it ready again") {
    service.servers[0].draining = true;
    service.List();
    service.servers[0].draining = false;
    service.now += seconds(3);
    service.List();
    CHECK(service.loads.DrainDeadline("s0") == deadline);
    CHECK_FALSE(service.Serve(100).contains("s0"));
  }
  SUBCASE("stays so when the list loses it and a restored store shows it") {
    const auto all = service.servers;
    service.servers.erase(service.servers.begin());
    service.List();
    service.now += seconds(30);
    service.servers = all;
    service.List();
    CHECK(service.loads.DrainDeadline("s0") == deadline);
    CHECK_FALSE(service.Serve(100).contains("s0"));
  }
  SUBCASE("keeps the earlier deadline of a list that knew it before") {
    const Instant last_ready = told_at - milliseconds(500);
    service.servers[0].draining = true;
    service.loads.Update(service.servers, last_ready, service.now);
    CHECK(service.loads.DrainDeadline("s0") ==
          last_ready + model::kLeavingServerGracePeriod);
  }
  SUBCASE("says nothing about its next incarnation") {
    service.servers[0].life = 2;
    service.List();
    CHECK_FALSE(service.loads.DrainDeadline("s0"));
    CHECK(service.Serve(400).contains("s0"));
    SUBCASE("also when its answer arrives after that one was listed") {
      service.loads.OnDraining(kFirstRun, "r-3", service.now);
      CHECK_FALSE(service.loads.DrainDeadline("s0"));
    }
    SUBCASE("but still about itself, should an old list bring it back") {
      service.servers[0].life = 1;
      service.List();
      CHECK(service.loads.DrainDeadline("s0") == deadline);
    }
  }
  SUBCASE("says nothing about a new server at its address") {
    model::BackendServer reused = service.servers[0];
    reused.id = "new";
    service.servers[0] = reused;
    service.List();
    CHECK_FALSE(service.loads.DrainDeadline("new"));
    CHECK(service.Serve(400).contains("new"));
  }
  SUBCASE("is named with the answer that said it") {
    const auto notice = service.loads.FindNotice("s0", false, told_at);
    REQUIRE(notice);
    CHECK(notice->request_id == "r-1");
    CHECK(notice->received_at == told_at);
    CHECK_FALSE(service.loads.FindNotice("s1", false, told_at));
    CHECK(service.loads.NewestNotice(told_at)->request_id == "r-1");
    CHECK_FALSE(service.loads.FindNotice("s0", true, deadline));
    CHECK(service.loads.FindNotice("s0", true, deadline + seconds(1)));
  }
  SUBCASE("is forgotten long after it has left") {
    service.servers.erase(service.servers.begin());
    service.now += std::chrono::hours(2);
    service.List();
    CHECK(service.loads.DrainingNotices() == 0);
  }
}

}  // namespace chervilmux::policy
