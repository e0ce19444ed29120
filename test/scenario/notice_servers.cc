#include "notice_servers.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "notice_judge.h"

namespace chervilmux::scenario {
namespace {

constexpr double kStoreAwayFromS = kStatementS - 0.5;
constexpr double kStoreBackS = kStatementS + 5;
constexpr double kOwnersMoveS = 0.5;

constexpr std::size_t kMaxQueued = 12;
constexpr unsigned kKeysPerServer = 8;
/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSigma = 0.5;

}  // namespace

NoticeServers::NoticeServers(const NoticeTrial& trial, NoticeEvents& events,
                             std::mt19937_64& random)
    : trial(trial), events(events), random(random), servers(trial.servers) {
  for (unsigned i = 0; i < trial.servers; ++i) {
    this->servers[i].id = std::to_string(i);
    this->numbers[this->servers[i].id] = i;
    model::BackendServer listed;
    listed.id = this->servers[i].id;
    listed.failure_domain = "domain";
    listed.slots = kSlots;
    listed.life = 1;
    this->stored.push_back(listed);
    this->owners.insert(this->owners.end(), kKeysPerServer, i);
  }
}

double NoticeServers::RandomUnit() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void NoticeServers::MakeStatements() {
  const auto count = static_cast<double>(this->servers.size());
  const auto leaving =
      static_cast<unsigned>(std::ceil(this->trial.leaving_share * count));
  const auto quiet =
      static_cast<unsigned>(std::ceil(this->trial.quiet_share * count));
  std::vector<unsigned> order(this->servers.size());
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::shuffle(order, this->random);
  for (unsigned i = 0; i < leaving; ++i) this->Leave(order[i]);
  std::ranges::shuffle(order, this->random);
  for (unsigned i = 0; i < quiet; ++i)
    this->servers[order[i]].quiet_until = kQuietEndS;
}

/// A server can only tell the store when that is not away, and runs on until
/// the drain bound after it did.
void NoticeServers::Leave(unsigned number) {
  this->servers[number].leaving = true;
  if (this->trial.store_away) {
    this->events.At(kStoreBackS,
                    [this, number] { this->StoreLeaving(number); });
  } else {
    this->StoreLeaving(number);
  }
}

void NoticeServers::StoreLeaving(unsigned number) {
  this->stored[number].draining = true;
  this->events.After(kOwnersMoveS, [this, number] {
    for (unsigned& owner : this->owners) {
      if (owner == number) owner = this->AnyStayingServer();
    }
  });
  this->events.After(kDrainBoundS,
                     [this, number] { this->servers[number].ended = true; });
}

unsigned NoticeServers::AnyStayingServer() {
  unsigned number = 0;
  do {
    number = static_cast<unsigned>(this->RandomUnit() *
                                   static_cast<double>(this->servers.size()));
  } while (this->servers[number].leaving);
  return number;
}

bool NoticeServers::StoreIsAway() const {
  return this->trial.store_away && this->events.NowS() >= kStoreAwayFromS &&
         this->events.NowS() < kStoreBackS;
}

std::vector<model::BackendServer> NoticeServers::Listed() const {
  std::vector<model::BackendServer> listed;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    if (!this->servers[i].ended) listed.push_back(this->stored[i]);
  }
  return listed;
}

double NoticeServers::FirstQuietEnd() const {
  return std::ranges::min(this->servers, {}, &Server::quiet_until).quiet_until;
}

policy::ReportedLoad NoticeServers::LoadOf(const Server& server) const {
  return {server.running, static_cast<unsigned>(server.queued.size()), kSlots};
}

void NoticeServers::Arrive(unsigned number,
                           std::function<void(const NoticeAnswer&)> reply) {
  Server& server = this->servers[number];
  NoticeAnswer answer;
  answer.draining = server.leaving;
  if (server.ended) {
    answer.reached = false;
    reply(answer);
    return;
  }
  if (this->events.NowS() < server.quiet_until) {
    answer.not_run = true;
    answer.quiet_until = server.quiet_until;
  } else if (server.running >= kSlots && server.queued.size() >= kMaxQueued) {
    answer.not_run = true;
  }
  if (answer.not_run) {
    answer.load = this->LoadOf(server);
    reply(answer);
    return;
  }
  server.queued.push_back([this, number, reply = std::move(reply)] {
    this->events.After(this->RandomServiceTime(), [this, number, reply] {
      this->Complete(this->servers[number], reply);
    });
  });
  this->RunNext(server);
}

void NoticeServers::Complete(
    Server& server, const std::function<void(const NoticeAnswer&)>& reply) {
  server.running -= 1;
  NoticeAnswer answer;
  answer.draining = server.leaving;
  answer.load = this->LoadOf(server);
  reply(answer);
  this->RunNext(server);
}

void NoticeServers::RunNext(Server& server) {
  if (server.running >= kSlots || server.queued.empty()) return;
  server.running += 1;
  const auto start = std::move(server.queued.front());
  server.queued.pop_front();
  start();
}

double NoticeServers::RandomServiceTime() {
  const double median =
      kMeanServiceTimeS * std::exp(-kServiceTimeSigma * kServiceTimeSigma / 2);
  return std::lognormal_distribution<double>(std::log(median),
                                             kServiceTimeSigma)(this->random);
}

}  // namespace chervilmux::scenario
