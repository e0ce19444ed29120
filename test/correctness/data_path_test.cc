// The sockets of the data path: pipelined callers, callers that leave, and
// servers whose bytes belong to no request.

#include <doctest/doctest.h>
#include <malloc.h>
#include <sys/socket.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "data_path_ends.h"
#include "loopback_listener.h"

namespace chervilmux::net {

TEST_CASE("a caller that sends requests ahead") {
  Front front;
  front.expected = 3;
  Caller caller(front.address);
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  front.arrived.get_future().get();
  SUBCASE("gets its answers in its order, whatever is done first") {
    front.Answer("/3", "three");
    front.Answer("/2", "two");
    front.Answer("/1", "one");
    const std::string got = caller.ReadUntil("three");
    CHECK(got.find("one") < got.find("two"));
    CHECK(got.find("two") < got.find("three"));
  }
  SUBCASE("is asked to close only behind the last pending answer") {
    front.Do([&] { front.front->CloseAfterAnswers(); });
    front.Answer("/1", "one");
    front.Answer("/2", "two");
    front.Answer("/3", "three");
    const std::string got = caller.ReadUntil("three");
    CHECK(got.find("Connection: close") > got.find("two"));
    CHECK(got.find("Connection: close") != std::string::npos);
  }
  SUBCASE("does not keep its connection open past a stop by sending more") {
    front.Do([&] {
      front.front->CloseAfterAnswers();
      front.front->StopAccepting();
    });
    caller.Send(Get("/4"));
    front.Answer("/1", "one");
    front.Answer("/2", "two");
    front.Answer("/3", "three");
    // An open connection would leave the caller waiting for its fourth answer.
    const std::string got = caller.ReadUntil("never");
    CHECK(got.ends_with("three"));
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK_FALSE(front.refs.contains("/4"));
  }
}

TEST_CASE("more callers than connections") {
  Front front;
  FrontLimits limits;
  limits.max_connections = 2;
  front.Do([&] { front.front->SetLimits(limits); });
  Caller first(front.address);
  first.Send(Get("/1"));
  front.arrived.get_future().get();
  SUBCASE("the connection that is idle for longest makes room") {
    front.Answer("/1", "one");
    CHECK(first.ReadUntil("one").ends_with("one"));
    Caller second(front.address);
    Caller third(front.address);
    third.Send(Get("/3"));
    CHECK(first.ReadUntil("never").empty());
    front.Do([&] { CHECK(front.front->Connections() <= 2); });
  }
  SUBCASE("where none is idle the next one waits until one has its answer") {
    Caller second(front.address);
    second.Send(Get("/2"));
    while (front.Requests() < 2) std::this_thread::yield();
    Caller third(front.address);
    third.Send(Get("/3"));
    front.Do([&] { CHECK(front.front->Connections() == 2); });
    front.Answer("/1", "one");
    while (front.Requests() < 3) std::this_thread::yield();
    CHECK(first.ReadUntil("never").ends_with("one"));
    front.Answer("/3", "three");
    CHECK(third.ReadUntil("three").ends_with("three"));
  }
}

TEST_CASE("requests that have not arrived whole when the process ends") {
  Front front;
  Caller half(front.address);
  half.Send("GET /half HTTP/1.1\r\nHo");
  Caller idle(front.address);
  Caller pending(front.address);
  pending.Send(Get("/1"));
  front.arrived.get_future().get();
  front.Do([&] {
    front.front->CloseAfterAnswers();
    front.front->StopAccepting();
    front.front->EndPartialRequests({kernel::ErrorKind::kStopping, "stop"});
  });
  CHECK(half.ReadUntil("never").starts_with("HTTP/1.1 503"));
  CHECK(idle.ReadUntil("never").empty());
  front.Answer("/1", "one");
  CHECK(pending.ReadUntil("never").ends_with("one"));
  CHECK(front.Requests() == 1);
}

TEST_CASE("a caller that leaves is noticed while its request is pending") {
  Front front;
  Caller caller(front.address);
  caller.Send(Get("/1"));
  front.arrived.get_future().get();
  caller.Close();
  front.gone.get_future().get();
  front.Do([&] { CHECK(front.front->Pending() == 0); });
}

TEST_CASE(
    "a request with two readings is answered 400 and the connection ends") {
  Front front;
  Caller caller(front.address);
  caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      Get("/smuggled"));
  const std::string got = caller.ReadUntil("never");
  CHECK(got.starts_with("HTTP/1.1 400"));
  CHECK(front.refs.empty());
}

TEST_CASE("a server's connection") {
  fakes::LoopbackListener listener;
  Links links;
  GIVEN("that was used once") {
    auto first = links.Start(listener.address, "a", true);
    ServerEnd server(listener);
    server.ReadRequest();
    SUBCASE("carries the next request") {
      server.Answer("a", "1");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      server.ReadRequest();
      server.Answer("b", "2");
      const auto result = second.get();
      CHECK(result.answer.body == "2");
      CHECK(result.reused_connection);
    }
    SUBCASE("is not used again after extra bytes") {
      server.Send(
          "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\n1extra");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      ServerEnd other(listener);
      other.ReadRequest();
      other.Answer("b", "2");
      CHECK_FALSE(second.get().reused_connection);
    }
    SUBCASE("skips an answer to an earlier request, and is not used again") {
      server.Answer("a", "1");
      CHECK(first.get().answer.body == "1");
      auto second = links.Start(listener.address, "b", true);
      server.ReadRequest();
      server.Answer("a", "late");
      server.Answer("b", "2");
      CHECK(second.get().answer.body == "2");
      auto third = links.Start(listener.address, "c", true);
      ServerEnd other(listener);
      other.ReadRequest();
      other.Answer("c", "3");
      CHECK_FALSE(third.get().reused_connection);
    }
    SUBCASE("that ends early gives no answer") {
      server.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n1");
      server.Close();
      const auto result = first.get();
      CHECK(result.end == TransferEnd::kTruncated);
      CHECK(result.possibly_sent);
    }
    SUBCASE("that ends without a byte leaves the outcome open") {
      server.Close();
      const auto result = first.get();
      CHECK(result.end == TransferEnd::kBroken);
      CHECK(result.possibly_sent);
      CHECK(result.connected);
    }
    SUBCASE("that is reset after its first byte was not refused") {
      server.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n1");
      server.Reset();
      CHECK(first.get().end == TransferEnd::kTruncated);
    }
    SUBCASE("is reset when the request is given up at its deadline") {
      links.CheckTime();
      CHECK(first.get().end == TransferEnd::kTimedOut);
      CHECK(server.NextError() == ECONNRESET);
    }
  }
}

// Failure: each burst leaves as many idle connections behind as it had requests
// at once, and the server runs out of connections for all instances.
TEST_CASE("transfers that are out when the process ends") {
  fakes::LoopbackListener listener;
  Links links;
  auto first = links.Start(listener.address, "a", false);
  ServerEnd server(listener);
  server.ReadRequest();
  const auto end_all = [&links] {
    std::promise<void> done;
    links.task.Post([&] {
      links.links->EndAll();
      done.set_value();
    });
    done.get_future().get();
  };
  WHEN("the server works on") {
    end_all();
    THEN("they end as over time, and may have run") {
      const TransferResult result = first.get();
      CHECK(result.end == TransferEnd::kTimedOut);
      CHECK(result.possibly_sent);
    }
  }
  WHEN("the answer has arrived and was not read") {
    std::promise<void> blocked;
    links.task.Post([&] { blocked.get_future().get(); });
    server.Answer("a", "whole");
    std::this_thread::sleep_for(milliseconds(50));
    links.task.Post([&links] { links.links->EndAll(); });
    blocked.set_value();
    THEN("it counts") {
      const TransferResult result = first.get();
      CHECK(result.end == TransferEnd::kComplete);
      CHECK(result.answer.body == "whole");
    }
  }
}

TEST_CASE("a server keeps only its share of idle connections") {
  fakes::LoopbackListener listener;
  Links links;
  links.max_idle = 2;
  std::vector<std::future<TransferResult>> results;
  std::vector<std::unique_ptr<ServerEnd>> servers;
  for (int i = 0; i < 5; ++i) {
    results.push_back(links.Start(listener.address, "a", true));
    servers.push_back(std::make_unique<ServerEnd>(listener));
    servers.back()->ReadRequest();
  }
  for (const auto& server : servers) server->Answer("a", "1");
  for (auto& result : results) CHECK(result.get().answer.body == "1");
  CHECK(links.OpenTo(listener.address) == 2);
}

// Failure: a faulty server that sends bytes without end fills the memory, or
// keeps its connection and the request past the deadline.
TEST_CASE("a server that sends bytes without end") {
  fakes::LoopbackListener listener;
  Links links;
  auto result = links.Start(listener.address, "a", true, milliseconds(600));
  ServerEnd server(listener);
  server.ReadRequest();
  const auto end_of = [&](const std::string& start, const std::string& more) {
    server.Send(start);
    std::size_t most_buffered = 0;
    while (result.wait_for(seconds(0)) != std::future_status::ready) {
      if (!server.TrySend(more)) break;
      most_buffered = std::max(most_buffered, links.BufferedBytes());
      links.CheckTimeNow();
    }
    CHECK(most_buffered <= kMaxBuffered);
    CHECK(links.BufferedBytes() == 0);
    CHECK(server.IsClosedByPeer());
    return result.get().end;
  };
  const std::string block(16U << 10U, 'x');
  SUBCASE("in the status line") {
    CHECK(end_of(block, block) == TransferEnd::kTruncated);
  }
  SUBCASE("in a header") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\nX: ", block) ==
          TransferEnd::kTruncated);
  }
  SUBCASE("in many headers") {
    std::string lines;
    for (int i = 0; i < 500; ++i) lines += "Header: value\r\n";
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\n", lines) ==
          TransferEnd::kTruncated);
  }
  SUBCASE("in a body without a length") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", block) ==
          TransferEnd::kTooLarge);
  }
  SUBCASE("in a body of many chunks") {
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n",
                 "4000\r\n" + block + "\r\n") == TransferEnd::kTooLarge);
  }
  SUBCASE("in interim answers") {
    std::string interim;
    for (int i = 0; i < 500; ++i) interim += "HTTP/1.1 102 Wait\r\n\r\n";
    // Before the deadline: reading them to no end takes time from others.
    CHECK(end_of(interim, interim) == TransferEnd::kTruncated);
  }
  SUBCASE("in empty lines") {
    std::string lines;
    for (int i = 0; i < 5000; ++i) lines += "\r\n";
    CHECK(end_of(lines, lines) == TransferEnd::kTruncated);
  }
  SUBCASE("in trailers") {
    std::string lines;
    for (int i = 0; i < 2000; ++i) lines += "a:b\r\n";
    CHECK(end_of("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n0\r\n",
                 lines) == TransferEnd::kTruncated);
  }
  SUBCASE("in answers to other requests") {
    const std::string foreign =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 16384\r\n\r\n" + block;
    CHECK(end_of(foreign, foreign) == TransferEnd::kTimedOut);
  }
}

// Failure: several faulty servers together fill the memory, or an answer that
// is nearly whole is given up for them.
TEST_CASE("servers that send bytes without end share one limit") {
  fakes::LoopbackListener listener;
  Links links;
  auto sound = links.Start(listener.address, "sound", true);
  ServerEnd sound_server(listener);
  sound_server.ReadRequest();
  sound_server.Send(
      "HTTP/1.1 200 OK\r\nId: sound\r\nContent-Length: 3\r\n\r\n12");
  std::vector<std::future<TransferResult>> endless;
  std::vector<std::unique_ptr<ServerEnd>> servers;
  constexpr int kServers = 5;
  for (int i = 0; i < kServers; ++i) {
    endless.push_back(links.Start(listener.address, "a", true));
    servers.push_back(std::make_unique<ServerEnd>(listener));
    servers.back()->ReadRequest();
    servers.back()->Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\n");
  }
  const std::string block(16U << 10U, 'x');
  const auto all_ended = [&] {
    return std::ranges::all_of(endless, [](const auto& result) {
      return result.wait_for(seconds(0)) == std::future_status::ready;
    });
  };
  while (!all_ended()) {
    for (const auto& server : servers) server->TrySend(block);
    CHECK(links.BufferedBytes() <= kMaxBuffered);
  }
  for (auto& result : endless)
    CHECK(result.get().end == TransferEnd::kTooLarge);
  sound_server.Send("3");
  CHECK(sound.get().answer.body == "123");
}

// Failure: an instance that is behind reads a request after its caller has left
// and sends it to a server.
TEST_CASE("a request whose caller left before it was read is not served") {
  Front front;
  auto caller = std::make_unique<Caller>(front.address);
  // The connection is accepted before the instance falls behind.
  caller->Send(Get("/1"));
  front.arrived.get_future().get();
  std::promise<void> resume;
  front.task.Post([&] { resume.get_future().wait(); });
  caller->Send(Get("/2"));
  caller->Close();
  // The close has arrived when the connection's other end can read it.
  std::this_thread::sleep_for(milliseconds(50));
  resume.set_value();
  front.gone.get_future().get();
  CHECK(front.Requests() == 1);
}

// Failure: a caller that closes its sending side behind a faulty request is not
// told what is wrong with it.
TEST_CASE("a faulty request is refused although nothing can follow it") {
  Front front;
  Caller caller(front.address);
  std::promise<void> resume;
  front.task.Post([&] { resume.get_future().wait(); });
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n");
  caller.CloseSending();
  std::this_thread::sleep_for(milliseconds(50));
  resume.set_value();
  CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 400"));
}

// Failure: a caller that sends bytes without end fills the memory, or is not
// answered.
TEST_CASE("a caller that sends bytes without end") {
  Front front;
  ReadLimits limits;
  limits.max_head_bytes = 16U << 10U;
  limits.max_body_bytes = 256U << 10U;
  front.Do([&] {
    FrontLimits front_limits;
    front_limits.read = limits;
    front.front->SetLimits(front_limits);
  });
  Caller caller(front.address);
  const std::string block(16U << 10U, 'x');
  std::size_t most_buffered = 0;
  /// Sends blocks until the connection ends or takes no more.
  const auto send_blocks = [&](const std::string& bytes) {
    constexpr int kBlocks = 600;
    for (int i = 0; i < kBlocks && caller.TrySend(bytes); ++i) {
      front.Do([&] {
        most_buffered = std::max(most_buffered, front.front->BufferedBytes());
      });
    }
    CHECK(most_buffered <= 2 * limits.max_head_bytes + limits.max_body_bytes);
  };
  SUBCASE("in a head is refused, and its connection closed") {
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\nX: ");
    send_blocks(block);
    CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 431"));
  }
  SUBCASE("in a body is refused, and its connection closed") {
    caller.Send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    send_blocks("4000\r\n" + block + "\r\n");
    CHECK(caller.ReadUntil("never").starts_with("HTTP/1.1 413"));
  }
  SUBCASE("behind a request gets the answer to that request") {
    caller.Send(Get("/1"));
    front.arrived.get_future().get();
    send_blocks(block);
    front.Answer("/1", "one");
    const std::string got = caller.ReadUntil("never");
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(got.find("one") != std::string::npos);
    CHECK(got.find("HTTP/1.1 4") > got.find("one"));
  }
  SUBCASE("of requests that wait for their answers is not read any further") {
    front.expected = 32;
    std::string requests;
    for (int i = 0; i < 1000; ++i) requests += Get("/" + std::to_string(i));
    caller.Send(requests.substr(0, 4U << 10U));
    front.arrived.get_future().get();
    send_blocks(requests);
    CHECK(front.Requests() == 32);
  }
}

// Failure: callers that read nothing of large answers fill the memory.
TEST_CASE("callers that take nothing of their answers share one limit") {
  Front front;
  FrontLimits limits;
  limits.max_unsent_bytes = 64U << 20U;
  front.Do([&] { front.front->SetLimits(limits); });
  // More than the buffers of a connection take in.
  const std::string body = std::string(16U << 20U, 'x') + "end";
  const std::string large = std::string(48U << 20U, 'x') + "end";
  std::vector<std::unique_ptr<Caller>> callers;
  const auto request = [&](const std::string& url) {
    callers.push_back(std::make_unique<Caller>(front.address));
    callers.back()->Send(Get(url));
    const std::size_t requests = callers.size();
    while (front.Requests() < requests) std::this_thread::yield();
  };
  constexpr int kCallers = 12;
  SUBCASE("those that took nothing for longest see that theirs is cut off") {
    for (int i = 0; i < kCallers; ++i) {
      request("/" + std::to_string(i));
      front.Answer("/" + std::to_string(i), body);
      CHECK(front.UnsentBytes() <= limits.max_unsent_bytes);
    }
    const std::string cut = callers.front()->ReadUntil("end");
    CHECK(cut.starts_with("HTTP/1.1 200"));
    CHECK(cut.size() < body.size());
    CHECK(cut.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(callers.back()->ReadUntil("end").ends_with("end"));
  }
  SUBCASE("one that takes its answer slowly gets all of it") {
    request("/slow");
    front.Answer("/slow", large);
    // As much as makes room in the connection's buffers.
    constexpr std::size_t kPart = 3U << 20U;
    for (int i = 0; i < kCallers; ++i) {
      request("/" + std::to_string(i));
      const std::size_t before = front.UnsentBytes();
      CHECK(callers.front()->Read(kPart).size() == kPart);
      constexpr int kTries = 500;
      for (int j = 0; j < kTries && front.UnsentBytes() == before; ++j)
        std::this_thread::sleep_for(milliseconds(10));
      front.Answer("/" + std::to_string(i), body);
      CHECK(front.UnsentBytes() <= limits.max_unsent_bytes);
    }
    CHECK(callers.front()->ReadUntil("end").ends_with("end"));
  }
  SUBCASE("answers that wait for one before them count too") {
    callers.push_back(std::make_unique<Caller>(front.address));
    callers.back()->Send(Get("/1") + Get("/2") + Get("/3"));
    while (front.Requests() < 3) std::this_thread::yield();
    front.Answer("/3", large);
    CHECK(front.gone_count == 0);
    front.Answer("/2", large);
    CHECK(front.UnsentBytes() == 0);
    // The first request has no answer and never gets one.
    CHECK(front.gone_count == 1);
    CHECK(callers.back()->ReadUntil("never").empty());
  }
}

// Failure: the end of other connections reaches the owner while it gives an
// answer, so that it acts twice on a request.
TEST_CASE("connections that are given up end after the answer that ends them") {
  Front front;
  FrontLimits limits;
  limits.max_unsent_bytes = 1U << 20U;
  front.Do([&] { front.front->SetLimits(limits); });
  const std::string large(24U << 20U, 'x');
  const Caller first(front.address);
  first.Send(Get("/1") + Get("/2"));
  const Caller second(front.address);
  second.Send(Get("/3"));
  while (front.Requests() < 3) std::this_thread::yield();
  unsigned gone_meanwhile = 0;
  front.Do([&] {
    HttpAnswer answer = PlainAnswer(200, large);
    front.front->Answer(front.refs.at("/2"), answer);
    front.front->Answer(front.refs.at("/3"), answer);
    gone_meanwhile = front.gone_count;
  });
  CHECK(front.UnsentBytes() <= limits.max_unsent_bytes);
  CHECK(gone_meanwhile == 0);
  CHECK(front.gone_count == 1);
}

// Failure: idle connections keep the memory of the largest answer that each has
// carried, and fill a small instance.
TEST_CASE("connections keep no memory of answers that were taken") {
  Front front;
  const auto bytes_in_use = [] {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  constexpr std::size_t kAnswerBytes = 8U << 20U;
  constexpr int kCallers = 8;
  std::vector<std::unique_ptr<Caller>> callers;
  const std::size_t before = bytes_in_use();
  for (int i = 0; i < kCallers; ++i) {
    const std::string url = "/" + std::to_string(i);
    callers.push_back(std::make_unique<Caller>(front.address));
    callers.back()->Send(Get(url));
    while (front.Requests() < callers.size()) std::this_thread::yield();
    front.Answer(url, std::string(kAnswerBytes, 'x') + "end");
    CHECK(callers.back()->ReadUntil("end").ends_with("end"));
  }
  front.Do([&] { CHECK(front.front->Connections() == kCallers); });
  CHECK(bytes_in_use() < before + kAnswerBytes);
}

// Failure: a request is sent on a new connection although its caller has left
// while the connection was opened.
TEST_CASE("a request that nobody waits for is not sent on a new connection") {
  fakes::LoopbackListener listener;
  Links links;
  links.is_wanted = false;
  const auto result = links.Start(listener.address, "a", true).get();
  CHECK(result.end == TransferEnd::kCancelled);
  CHECK_FALSE(result.possibly_sent);
  ServerEnd server(listener);
  CHECK(server.NextError() == ECONNRESET);
}

// Failure: a request is sent on a new connection although its server has said,
// while the connection was opened, that it wants no more.
TEST_CASE("a request is withheld from a server that wants no more by then") {
  fakes::LoopbackListener listener;
  Links links;
  links.may_send = false;
  const auto result = links.Start(listener.address, "a", true).get();
  CHECK(result.end == TransferEnd::kWithheld);
  CHECK_FALSE(result.possibly_sent);
  ServerEnd server(listener);
  CHECK(server.NextError() == ECONNRESET);
}

TEST_CASE("a server that does not listen was not asked") {
  fakes::LoopbackListener listener;
  const Address address = listener.address;
  listener.Close();
  Links links;
  const auto result = links.Start(address, "a", false).get();
  CHECK(result.end == TransferEnd::kNotSent);
  CHECK_FALSE(result.possibly_sent);
  CHECK_FALSE(result.connected);
}

}  // namespace chervilmux::net
