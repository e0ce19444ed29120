// An instance that is behind: its time limits are over by the time at which it
// reads what had arrived before.

#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "data_path_ends.h"
#include "loopback_listener.h"
#include "pause.h"

namespace chervilmux::net {
namespace {

using fakes::Pause;

/// Longer than the time between two checks of time limits.
constexpr kernel::Duration kBetweenChecks = milliseconds(300);

/// A caller whose connection is idle.
std::unique_ptr<Caller> IdleCaller(Front& front) {
  auto caller = std::make_unique<Caller>(front.address);
  caller->Send(Get("/before"));
  while (front.Requests() == 0) std::this_thread::yield();
  front.Answer("/before", "before");
  CHECK(caller->ReadUntil("before").ends_with("before"));
  return caller;
}

/// Starts a request on a new connection and looks at the connection only after
/// the time for opening it.
std::future<TransferResult> StartLate(Links& links,
                                      const fakes::LoopbackListener& listener,
                                      kernel::Duration time) {
  std::future<TransferResult> result;
  const Pause before(links.task);
  result = links.Start(listener.address, "a", true, time);
  // One message more than the request: the connection is not looked at between.
  links.task.Post([&links] {
    std::this_thread::sleep_for(milliseconds(500));
    links.links->CheckTime(kernel::Now());
  });
  return result;
}

/// Whether `caller` gets an answer of 200 to its request.
bool IsServed(Front& front, const Caller& caller, const std::string& url) {
  const auto has_arrived = [&] {
    bool arrived = false;
    front.Do([&] { arrived = front.refs.contains(url); });
    return arrived;
  };
  constexpr int kTries = 200;
  for (int i = 0; i < kTries && !has_arrived(); ++i)
    std::this_thread::sleep_for(milliseconds(10));
  if (!has_arrived()) return false;
  front.Answer(url, "after");
  return caller.ReadUntil("after").ends_with("after");
}

}  // namespace

// Failure: a connection is closed although a whole request has arrived on it,
// and its caller gets no answer.
TEST_CASE("a request that arrived before its connection is closed as idle") {
  Front front;
  FrontLimits limits;
  limits.idle_timeout = seconds(1);
  limits.max_connections = 2;
  front.Do([&] { front.front->SetLimits(limits); });
  const auto caller = IdleCaller(front);
  SUBCASE("is served when the idle time ends before it is read") {
    {
      const Pause pause(front.task);
      // The check that is due by then runs before the request is read.
      std::this_thread::sleep_for(kBetweenChecks);
      caller->Send(Get("/after"));
      std::this_thread::sleep_for(limits.idle_timeout);
    }
    CHECK(IsServed(front, *caller, "/after"));
  }
  SUBCASE("is served when the instance stops") {
    {
      const Pause pause(front.task, [&] { front.front->StopAccepting(); });
      std::this_thread::sleep_for(kBetweenChecks);
      caller->Send(Get("/after"));
    }
    CHECK(IsServed(front, *caller, "/after"));
  }
  SUBCASE("is served when the limit has been raised meanwhile") {
    limits.idle_timeout = seconds(20);
    front.Do([&] { front.front->SetLimits(limits); });
    std::this_thread::sleep_for(seconds(1) + kBetweenChecks);
    caller->Send(Get("/after"));
    CHECK(IsServed(front, *caller, "/after"));
  }
  SUBCASE("is served when new connections need room") {
    const Caller second(front.address);
    while (front.Connections() < 2) std::this_thread::yield();
    std::unique_ptr<Caller> third;
    {
      const Pause pause(front.task);
      // The listening socket is looked at before the caller's.
      third = std::make_unique<Caller>(front.address);
      caller->Send(Get("/after"));
    }
    CHECK(IsServed(front, *caller, "/after"));
  }
}

// Failure: a request that crosses the close of its idle connection is read and
// dropped, so that its caller cannot know that it has not run.
TEST_CASE("a request that arrives after its idle connection was closed") {
  Front front;
  FrontLimits limits;
  limits.idle_timeout = seconds(1);
  front.Do([&] { front.front->SetLimits(limits); });
  const auto caller = IdleCaller(front);
  CHECK(caller->ReadUntil("never").empty());
  caller->Send(Get("/crossing"));
  SUBCASE("is not read: the connection is reset") {
    CHECK(caller->IsResetSoon());
    CHECK(front.Requests() == 1);
  }
}

// Failure: a stop resets connections that wait to be accepted, with the whole
// requests that they carry.
TEST_CASE("a request whose connection waits to be accepted at a stop") {
  Front front;
  std::unique_ptr<Caller> caller;
  {
    const Pause pause(front.task);
    caller = std::make_unique<Caller>(front.address);
    caller->Send(Get("/after"));
    front.task.Post([&] { front.front->StopAccepting(); });
  }
  CHECK(IsServed(front, *caller, "/after"));
}

// Failure: a request is refused as too slow although all of it has arrived.
TEST_CASE("a request whose end arrived in time is served") {
  Front front;
  FrontLimits limits;
  limits.request_timeout = seconds(1);
  front.Do([&] { front.front->SetLimits(limits); });
  const Caller caller(front.address);
  caller.Send("GET /after HTTP/1.1\r\n");
  while (front.BufferedBytes() == 0) std::this_thread::yield();
  {
    const Pause pause(front.task);
    std::this_thread::sleep_for(kBetweenChecks);
    caller.Send("Host: h\r\n\r\n");
    std::this_thread::sleep_for(limits.request_timeout);
  }
  CHECK(IsServed(front, caller, "/after"));
}

// Failure: a connection on a full link is reset because its caller acknowledges
// an answer late.
TEST_CASE("a caller that takes its answer slowly gets all of it") {
  Front front;
  const Caller caller(front.address);
  caller.Send(Get("/large"));
  while (front.Requests() == 0) std::this_thread::yield();
  const std::string body(32U << 20U, 'x');
  front.Answer("/large", body + "end");
  std::this_thread::sleep_for(seconds(3));
  const std::string got = caller.ReadUntil("end");
  CHECK(got.size() > body.size());
}

// Failure: a server counts as unreachable or silent although its part had
// arrived in time.
TEST_CASE("a server that was quick while the instance was behind") {
  fakes::LoopbackListener listener;
  Links links;
  SUBCASE("has accepted the connection") {
    auto result = StartLate(links, listener, seconds(5));
    ServerEnd server(listener);
    // The time that is left is another by then.
    CHECK(server.ReadRequest().find("Renewed: yes") != std::string::npos);
    server.Answer("a", "one");
    CHECK(result.get().end == TransferEnd::kComplete);
  }
  SUBCASE("gets no request whose deadline is over") {
    const auto result = StartLate(links, listener, milliseconds(300)).get();
    CHECK(result.end == TransferEnd::kNotSent);
    CHECK(ServerEnd(listener).ReadRequest().empty());
  }
  SUBCASE("gets no request that must not be sent late") {
    links.renews = false;
    const auto result = StartLate(links, listener, seconds(5)).get();
    CHECK(result.end == TransferEnd::kNotSent);
    CHECK(ServerEnd(listener).ReadRequest().empty());
  }
  SUBCASE("has answered before the deadline") {
    auto result = links.Start(listener.address, "a", true, milliseconds(500));
    ServerEnd server(listener);
    server.ReadRequest();
    {
      const Pause pause(links.task);
      server.Answer("a", "one");
      std::this_thread::sleep_for(milliseconds(700));
      links.PostCheckTime();
    }
    CHECK(result.get().end == TransferEnd::kComplete);
  }
}

}  // namespace chervilmux::net
