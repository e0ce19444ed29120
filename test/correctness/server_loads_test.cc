// Which backend server gets a request, and when a request waits or is refused.

#include "policy/server_loads.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "policy/admission.h"

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

model::BackendServer MakeServer(std::string id, std::string domain) {
  model::BackendServer server;
  server.id = std::move(id);
  server.failure_domain = std::move(domain);
  server.slots = 4;
  return server;
}

/// A service of four near and four far servers, and a seeded caller.
class Service {
 public:
  Service() : loads("near") {
    for (const char* id : {"n1", "n2", "n3", "n4"}) {
      this->servers.push_back(MakeServer(id, "near"));
    }
    for (const char* id : {"f1", "f2", "f3", "f4"}) {
      this->servers.push_back(MakeServer(id, "far"));
    }
    this->loads.Update(this->servers, this->now, this->now);
  }

  std::optional<std::string> Choose(std::vector<std::string> tried = {}) {
    return this->loads.ChooseServer(tried, this->now, [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    });
  }

  /// `count` requests one after the other; each server works as told.
  std::map<std::string, int> Play(
      int count, const std::map<std::string, AttemptOutcome>& ends,
      const std::map<std::string, int>& work_ms) {
    std::map<std::string, int> got;
    for (int i = 0; i < count; ++i) {
      const auto id = this->Choose();
      this->now += milliseconds(10);
      if (!id) continue;
      got[*id] += 1;
      const auto end = ends.find(*id);
      const auto work = work_ms.find(*id);
      this->loads.OnSent(*id);
      this->loads.OnCompletion(
          *id, end == ends.end() ? AttemptOutcome::kServed : end->second,
          milliseconds(work == work_ms.end() ? 50 : work->second), std::nullopt,
          this->now);
    }
    return got;
  }

  std::vector<model::BackendServer> servers;
  ServerLoads loads;
  Instant now = Instant(seconds(10));
  std::mt19937_64 random{5};
};

int Sum(const std::map<std::string, int>& got, char domain) {
  int sum = 0;
  for (const auto& [id, count] : got) sum += id[0] == domain ? count : 0;
  return sum;
}

}  // namespace

TEST_CASE("a calm service") {
  Service service;
  SUBCASE("requests stay in their failure domain and spread there") {
    const auto got = service.Play(400, {}, {});
    CHECK(Sum(got, 'f') == 0);
    for (const char* id : {"n1", "n2", "n3", "n4"}) CHECK(got.at(id) > 40);
  }
  SUBCASE(
      "a busy failure domain whose answers are in time keeps its requests") {
    for (const char* id : {"n1", "n2", "n3", "n4"}) {
      for (int i = 0; i < 7; ++i) service.loads.OnSent(id);
    }
    for (int i = 0; i < 20; ++i) {
      CHECK(service.Choose().value_or("")[0] == 'n');
    }
  }
  SUBCASE("a full failure domain overflows to others") {
    for (const char* id : {"n1", "n2", "n3", "n4"}) {
      for (int i = 0; i < 8; ++i) service.loads.OnSent(id);
    }
    for (int i = 0; i < 20; ++i) {
      CHECK(service.Choose().value_or("")[0] == 'f');
    }
  }
  SUBCASE("a failure domain of slow servers overflows before it is full") {
    for (int i = 0; i < 20; ++i) {
      for (const auto& server : service.servers) {
        const bool near = server.failure_domain == "near";
        service.loads.OnSent(server.id);
        service.loads.OnCompletion(server.id, AttemptOutcome::kServed,
                                   milliseconds(near ? 300 : 50), std::nullopt,
                                   service.now);
      }
    }
    for (int i = 0; i < 20; ++i) {
      CHECK(service.Choose().value_or("")[0] == 'f');
    }
  }
  SUBCASE("a server that a request has been to is not chosen again") {
    for (int i = 0; i < 50; ++i) {
      CHECK(service.Choose({"n1", "n2", "n3"}) != "n1");
    }
  }
  SUBCASE("servers that drain get nothing") {
    for (auto& server : service.servers) server.draining = server.id != "f3";
    service.loads.Update(service.servers, service.now, service.now);
    CHECK(service.Choose() == "f3");
  }
  SUBCASE("a server may have drained since it was last known not to") {
    const Instant known = service.now;
    service.now += milliseconds(1500);
    service.servers[0].draining = true;
    service.loads.Update(service.servers, known, service.now);
    CHECK(service.loads.MaxDrainingTime("n1", service.now) ==
          milliseconds(1500));
    service.now += milliseconds(100);
    service.loads.Update(service.servers, service.now, service.now);
    CHECK(service.loads.MaxDrainingTime("n1", service.now) ==
          milliseconds(1600));
  }
  SUBCASE("one that is new and drains may have done so for ever") {
    service.servers[0].draining = true;
    ServerLoads started("near");
    started.Update(service.servers, kernel::kNever, service.now);
    CHECK(started.MaxDrainingTime("n1", service.now) > seconds(1000));
    CHECK(started.MaxDrainingTime("n2", service.now) == Duration(0));
  }
  SUBCASE("with all servers full there is no choice") {
    for (const auto& server : service.servers) {
      for (int i = 0; i < 8; ++i) service.loads.OnSent(server.id);
    }
    CHECK_FALSE(service.Choose());
    CHECK_FALSE(service.loads.HasCapacity("n1", service.now));
  }
}

TEST_CASE("a service with bad servers") {
  Service service;
  SUBCASE(
      "a slow one gets far less than the others, and more when it is well") {
    service.Play(200, {}, {});
    const auto slow = service.Play(400, {}, {{"n1", 400}});
    CHECK(slow.at("n2") > 3 * (slow.contains("n1") ? slow.at("n1") : 0));
    service.now += seconds(12);
    const auto well = service.Play(400, {}, {});
    CHECK(well.at("n1") > 40);
  }
  SUBCASE("one that fails is set aside and tried again") {
    const auto got =
        service.Play(400, {{"n1", AttemptOutcome::kServerError}}, {});
    CHECK(got.at("n1") >= 3);
    CHECK(got.at("n1") < 40);
  }
  SUBCASE("one that cannot be reached is set aside at once") {
    service.loads.OnSent("n1");
    service.loads.OnCompletion("n1", AttemptOutcome::kUnreachable, Duration(0),
                               std::nullopt, service.now);
    CHECK(service.loads.IsEjected("n1", service.now));
    CHECK_FALSE(service.loads.IsEjected("n1", service.now + seconds(5)));
  }
  SUBCASE("at most half of them are set aside") {
    for (const auto& server : service.servers) {
      service.loads.OnSent(server.id);
      service.loads.OnCompletion(server.id, AttemptOutcome::kUnreachable,
                                 Duration(0), std::nullopt, service.now);
    }
    CHECK(service.Choose().has_value());
  }
  SUBCASE("one that refuses for load counts as full for a moment") {
    service.loads.OnSent("n1");
    service.loads.OnCompletion("n1", AttemptOutcome::kShed, Duration(0),
                               std::nullopt, service.now);
    CHECK_FALSE(service.loads.HasCapacity("n1", service.now));
    CHECK(service.loads.HasCapacity("n1", service.now + seconds(3)));
  }
  SUBCASE("one that refuses with free slots is not full") {
    service.loads.OnSent("n1");
    service.loads.OnCompletion("n1", AttemptOutcome::kShed, milliseconds(1),
                               ReportedLoad{1, 0, 4}, service.now);
    CHECK(service.loads.HasCapacity("n1", service.now));
  }
  SUBCASE("one that refuses half of its requests with free slots gets few") {
    std::map<std::string, int> got;
    for (int i = 0; i < 400; ++i) {
      const std::string id = service.Choose().value_or("");
      got[id] += 1;
      service.loads.OnSent(id);
      const bool refused = id == "n1" && got[id] % 2 == 0;
      service.now += milliseconds(refused ? 1 : 50);
      service.loads.OnCompletion(
          id, refused ? AttemptOutcome::kShed : AttemptOutcome::kServed,
          milliseconds(refused ? 1 : 50), ReportedLoad{0, 0, 4}, service.now);
    }
    CHECK(got["n1"] > 0);
    CHECK(got["n1"] < 60);
  }
  SUBCASE("a told load counts, and less with age") {
    service.loads.OnSent("n1");
    service.loads.OnCompletion("n1", AttemptOutcome::kServed, milliseconds(50),
                               ReportedLoad{4, 8, 4}, service.now);
    CHECK_FALSE(service.loads.HasCapacity("n1", service.now));
    CHECK(service.loads.HasCapacity("n1", service.now + seconds(3)));
  }
}

TEST_CASE("servers of one service that differ in speed") {
  ServerLoads loads("near");
  const std::vector<model::BackendServer> servers = {
      MakeServer("slow", "near"), MakeServer("usual", "near"),
      MakeServer("quick", "near")};
  Instant now(seconds(1));
  loads.Update(servers, now, now);
  const auto answer = [&](const char* id, int work_ms) {
    loads.OnSent(id);
    now += milliseconds(work_ms);
    loads.OnCompletion(id, AttemptOutcome::kServed, milliseconds(work_ms), {},
                       now);
  };
  SUBCASE("one answer says little") {
    for (int i = 0; i < 20; ++i) answer("usual", 100);
    answer("quick", 20);
    CHECK(loads.RelativeSpeed("quick", now) < 1.5);
  }
  SUBCASE("many answers tell, also long after the last of them") {
    for (int i = 0; i < 20; ++i) {
      answer("slow", 200);
      answer("usual", 100);
      answer("quick", 50);
    }
    for (int i = 0; i < 100; ++i) answer("usual", 100);
    CHECK(loads.RelativeSpeed("slow", now) < 0.7);
    CHECK(loads.RelativeSpeed("quick", now) > 1.4);
  }
}

TEST_CASE("a request waits for an owner that this instance asks seldom") {
  ServerLoads loads("near");
  const std::vector<model::BackendServer> servers = {
      MakeServer("owner", "near")};
  Instant now(seconds(1));
  loads.Update(servers, now, now);
  CompletionRate own_answers;
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    loads.OnSent("owner");
    loads.OnCompletion("owner", AttemptOutcome::kServed, milliseconds(100), {},
                       now);
    own_answers.OnCompletion(now);
  }
  QueueState queue;
  queue.requests_ahead = 1;
  queue.service_time = milliseconds(100);
  queue.max_wait = milliseconds(200);
  SUBCASE("its four slots get 40 requests a second done") {
    queue.completions_per_second = loads.MaxThroughput("owner", now);
    CHECK(queue.completions_per_second == doctest::Approx(40).epsilon(0.05));
    CHECK(ShouldQueue(queue, seconds(1)));
  }
  SUBCASE("the one answer a second that is seen here would refuse it") {
    queue.completions_per_second = own_answers.PerSecond(now);
    CHECK_FALSE(ShouldQueue(queue, seconds(1)));
  }
  SUBCASE("a server that is not listed gets nothing done") {
    CHECK(loads.MaxThroughput("another", now) == 0);
  }
}

TEST_CASE("requests that find no server") {
  QueueState queue;
  queue.service_time = milliseconds(100);
  queue.max_wait = milliseconds(200);
  queue.completions_per_second = 20;
  SUBCASE("wait when the queue moves fast enough") {
    queue.requests_ahead = 2;
    CHECK(ExpectedWait(queue) == milliseconds(150));
    CHECK(ShouldQueue(queue, milliseconds(400)));
  }
  SUBCASE("are refused when their deadline would pass") {
    queue.requests_ahead = 2;
    CHECK_FALSE(ShouldQueue(queue, milliseconds(200)));
  }
  SUBCASE("are refused behind too many others") {
    queue.requests_ahead = 10;
    CHECK_FALSE(ShouldQueue(queue, seconds(10)));
  }
}

TEST_CASE("refused callers come back spread out") {
  for (int tenth = 0; tenth < 10; ++tenth) {
    const double random = tenth / 10.0;
    CHECK(RetryAfter(milliseconds(200), random) >= milliseconds(150));
    CHECK(RetryAfter(milliseconds(200), random) <= milliseconds(250));
  }
  CHECK(RetryAfter(seconds(60), 0.5) <= milliseconds(1250));
  CHECK(RetryAfter(Duration(0), 0.5) >= milliseconds(37));
}

TEST_CASE("the rate at which a service gets done") {
  CompletionRate rate;
  Instant now(seconds(5));
  CHECK(rate.PerSecond(now) == 0);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    rate.OnCompletion(now);
  }
  CHECK(rate.PerSecond(now) > 40);
  CHECK(rate.PerSecond(now) < 60);
  SUBCASE("falls when nothing gets done any more") {
    CHECK(rate.PerSecond(now + seconds(2)) < 5);
  }
}

}  // namespace chervilmux::policy
