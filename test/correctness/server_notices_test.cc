// Guards what this instance knows from servers' own answers. Failures: requests
// reach a server that said it drains, or a healthy server gets none because of
// what another one said.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "policy/admission.h"
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

// Failure: a server that asked for no requests for a while gets some before the
// end or a burst after it, or gets none for long because of a bad value.
TEST_CASE("a server that asks for no requests for a while") {
  NoticeService service;
  const Instant asked_at = service.now;
  const Instant end = asked_at + seconds(2);
  const auto at_most = [&](unsigned count) {
    unsigned started = 0;
    while (started <= count && service.loads.HasCapacity("s0", service.now)) {
      service.loads.OnSent("s0");
      started += 1;
    }
    CHECK(started <= count);
    return started;
  };
  const auto complete = [&](AttemptOutcome outcome, Duration latency) {
    service.loads.OnCompletion("s0", outcome, latency, ReportedLoad{0, 0, 4},
                               service.now);
  };
  service.loads.OnSent("s0");
  service.loads.OnSent("s0");
  CHECK(service.loads.OnBackOff(kFirstRun, seconds(2), "r-1", asked_at));
  complete(AttemptOutcome::kBackOff, milliseconds(5));
  SUBCASE("gets none, as the owner of keys or not, until the end") {
    while (service.now < end - milliseconds(20)) {
      CHECK_FALSE(service.loads.HasCapacity("s0", service.now));
      CHECK(service.loads.BackOffLeft("s0", service.now) == end - service.now);
      CHECK_FALSE(service.loads.MaySend(kFirstRun, true, service.now));
      CHECK_FALSE(service.Serve(1).contains("s0"));
    }
    CHECK(service.loads.UsableSlots(service.now) == (kServers - 1) * 4);
  }
  SUBCASE("is not ejected") {
    complete(AttemptOutcome::kBackOff, milliseconds(5));
    CHECK_FALSE(service.loads.IsEjected("s0", service.now));
  }
  SUBCASE("gets one request after the end, then as its answers allow") {
    service.now = end;
    CHECK(at_most(1) == 1);
    service.now += milliseconds(50);
    complete(AttemptOutcome::kServed, milliseconds(50));
    CHECK(at_most(2) == 2);
    service.now += milliseconds(50);
    complete(AttemptOutcome::kServed, milliseconds(50));
    complete(AttemptOutcome::kServed, milliseconds(50));
    CHECK(at_most(4) == 4);
    service.now += milliseconds(50);
    complete(AttemptOutcome::kServed, milliseconds(50));
    CHECK(at_most(8) >= 4);
  }
  SUBCASE("is probed although an older request is still under way") {
    service.now = end;
    CHECK(at_most(1) == 1);
    complete(AttemptOutcome::kServed, seconds(2) + milliseconds(1));
    CHECK_FALSE(service.loads.HasCapacity("s0", service.now));
  }
  SUBCASE("is left alone again when the probe is turned away") {
    service.now = end;
    CHECK(at_most(1) == 1);
    service.now += milliseconds(5);
    CHECK(service.loads.OnBackOff(kFirstRun, seconds(3), "r-2", service.now));
    complete(AttemptOutcome::kBackOff, milliseconds(5));
    CHECK(service.loads.BackOffLeft("s0", service.now) == seconds(3));
    service.now += seconds(3);
    CHECK(at_most(1) == 1);
  }
  SUBCASE("is probed again when the probe's caller left") {
    service.now = end;
    CHECK(at_most(1) == 1);
    complete(AttemptOutcome::kInconclusive, milliseconds(0));
    CHECK(at_most(1) == 1);
  }
  SUBCASE("is left alone until the later of two ends") {
    service.now += milliseconds(100);
    CHECK_FALSE(
        service.loads.OnBackOff(kFirstRun, seconds(1), "r-2", service.now));
    CHECK(service.loads.BackOffLeft("s0", service.now) == end - service.now);
    CHECK(service.loads.OnBackOff(kFirstRun, seconds(4), "r-3", service.now));
    CHECK(service.loads.BackOffLeft("s0", service.now) == seconds(4));
    CHECK(service.loads.FindNotice("s0", true, service.now)->request_id ==
          "r-3");
  }
  SUBCASE("is left alone when the list loses it and shows it again") {
    const auto all = service.servers;
    service.servers.erase(service.servers.begin());
    service.List();
    service.servers = all;
    service.List();
    CHECK_FALSE(service.loads.HasCapacity("s0", service.now));
    service.now = end;
    CHECK(at_most(1) == 1);
  }
  SUBCASE("says nothing about its next incarnation") {
    service.servers[0].life = 2;
    service.List();
    CHECK(service.loads.HasCapacity("s0", service.now));
    CHECK(service.loads.MaySend({"s0", 2}, true, service.now));
  }
  SUBCASE("cannot ask for more than the bound") {
    service.loads.OnBackOff(kFirstRun, std::chrono::hours(1000000), "r-2",
                            service.now);
    CHECK(service.loads.BackOffLeft("s0", service.now) == kMaxBackOff);
  }
  SUBCASE("and whose fellows ask likewise has a first one that returns") {
    for (unsigned i = 1; i < kServers; ++i) {
      service.loads.OnBackOff({"s" + std::to_string(i), 1}, seconds(2 + i),
                              "r-2", service.now);
    }
    CHECK(service.loads.UsableSlots(service.now) == 0);
    CHECK(service.loads.ShortestBackOffLeft(service.now) == seconds(2));
  }
  SUBCASE("is named with the answer that asked") {
    const auto notice = service.loads.FindNotice("s0", true, service.now);
    REQUIRE(notice);
    CHECK(notice->kind == NoticeKind::kBackOff);
    CHECK(notice->request_id == "r-1");
    CHECK_FALSE(service.loads.FindNotice("s0", true, end));
  }
}

// Failure: instances that a server turned away in one instant all return to it
// in one instant, more of them than it has slots.
TEST_CASE("a server that asked many instances for quiet") {
  std::size_t count = 0;
  SUBCASE("gets the first requests of a few") { count = 8; }
  SUBCASE("gets the first requests of many") { count = 16; }
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<NoticeService> instances(count);
    const Instant end = instances[0].now + seconds(2);
    for (auto& instance : instances) {
      instance.loads.SetInstances(count, random());
      instance.loads.OnBackOff(kFirstRun, seconds(2), "r-1", instance.now);
    }
    const auto started = [&](Instant at) {
      return std::ranges::count_if(instances, [&](const auto& instance) {
        return instance.loads.HasCapacity("s0", at);
      });
    };
    CHECK(started(end - milliseconds(1)) == 0);
    CHECK(started(end + milliseconds(100)) <= 4);
    CHECK(started(end + seconds(2)) == static_cast<std::ptrdiff_t>(count));
  }
}

// Failure: a server that has a slot for each instance waits longer than asked.
TEST_CASE("a server that asked as few instances as it has slots for quiet") {
  NoticeService service;
  service.loads.SetInstances(4, 1);
  service.loads.OnBackOff(kFirstRun, seconds(2), "r-1", service.now);
  CHECK(service.loads.BackOffLeft("s0", service.now) == seconds(2));
  CHECK(service.loads.HasCapacity("s0", service.now + seconds(2)));
}

// Failure: further answers move an instance's return although they name no
// later end, or a bad value moves it far beyond the bound.
TEST_CASE("an instance's return to a server that asked for quiet") {
  NoticeService service;
  service.loads.SetInstances(300, 1);
  service.loads.OnBackOff(kFirstRun, seconds(2), "r-1", service.now);
  const Duration left = service.loads.BackOffLeft("s0", service.now);
  SUBCASE("stays when another answer names the same end") {
    CHECK_FALSE(
        service.loads.OnBackOff(kFirstRun, seconds(2), "r-2", service.now));
    CHECK(service.loads.BackOffLeft("s0", service.now) == left);
  }
  SUBCASE("is at most as much later as the server asked") {
    CHECK(left >= seconds(2));
    CHECK(left <= seconds(4));
    service.loads.OnBackOff(kFirstRun, std::chrono::hours(1000000), "r-2",
                            service.now);
    CHECK(service.loads.BackOffLeft("s0", service.now) <= 2 * kMaxBackOff);
  }
}

// Failure: callers are told to return while the server wants no requests, or
// all of them return in one instant.
TEST_CASE("a caller whose server wants no requests for a while is told when") {
  for (const int rest_ms : {1, 100, 2000, 10000}) {
    const Duration rest = milliseconds(rest_ms);
    CHECK(RetryAfterBackOff(rest, 0) >= rest);
    const Duration spread =
        RetryAfterBackOff(rest, 0.999) - RetryAfterBackOff(rest, 0);
    CHECK(spread >= milliseconds(200));
    CHECK(spread >= rest / 3);
  }
}

}  // namespace chervilmux::policy
