// Node: the course of a planned stop.

#include <algorithm>
#include <utility>

#include "node/node.h"
#include "observe/log.h"

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// The platform's balancer takes an instance out after two misses, one second
/// apart; until then new connections still come.
constexpr Duration kLeaveRotation = milliseconds(2300);
/// Left of the grace when requests that are still out get their last answers.
constexpr Duration kLastAnswersReserve = milliseconds(500);
/// Left of the grace when the process ends by itself, whatever is open.
constexpr Duration kStopReserve = milliseconds(150);
/// Of a short grace, one such part at most goes to each of the steps above.
constexpr int kShortGraceParts = 4;
/// How long the process waits for the store to take its resignation.
constexpr Duration kResignTime = milliseconds(500);

}  // namespace

Node::StopPlan::StopPlan(Instant begin, Duration grace) {
  const Duration part = grace / kShortGraceParts;
  this->accepts_until = begin + std::min<Duration>(kLeaveRotation, 2 * part);
  this->last_answers_at =
      begin + grace - std::min<Duration>(kLastAnswersReserve, part);
  this->ends_at = begin + grace - std::min<Duration>(kStopReserve, part / 2);
}

void Node::Stop(std::function<void()> done) {
  if (this->stop) return;
  observe::LogInfo(
      "stopping",
      {{"open_requests", std::to_string(this->dispatcher->OpenRequests())}});
  this->stop.emplace(kernel::Now(), this->settings.stop_grace);
  this->on_stopped = std::move(done);
  this->dispatcher->BeginStop(this->stop->last_answers_at);
  this->callers->CloseAfterAnswers();
  for (const auto& [name, service] : this->key_services) {
    if (!service->Leads() && !this->inherited_leases.contains(name))
      service->Grantor().Resign();
  }
}

/// Asks others to lead in place of this instance, resigns where one agreed and
/// tells that one when the lease is free.
void Node::HandOverLeadership(Instant now) {
  for (const auto& [name, service] : this->key_services) {
    if (service->Leads()) {
      this->inherited_leases.erase(name);
      Succession& succession = this->stop->successions[name];
      if (succession.Successor()) service->Grantor().Resign();
      if (succession.IsDue(now)) this->AskForSuccessor(name, succession, now);
      continue;
    }
    const auto found = this->stop->successions.find(name);
    if (found == this->stop->successions.end()) continue;
    if (const auto& successor = found->second.Successor()) {
      observe::LogInfo("leadership_handed_over",
                       {{"service", name}, {"to", *successor}});
      this->SendSuccession({name, true}, *successor,
                           [](const std::optional<SuccessionReply>&) {});
    }
    this->stop->successions.erase(found);
  }
}

void Node::AskForSuccessor(const std::string& service, Succession& succession,
                           Instant now) {
  std::vector<std::string> others;
  for (const auto& [name, record] : this->readers.Instances()) {
    if (name != this->self.name) others.push_back(name);
  }
  for (const auto& name : succession.BeginRound(others, now, this->random)) {
    this->SendSuccession(
        {service, false}, name,
        [this, service, name](const std::optional<SuccessionReply>& reply) {
          const auto found = this->stop->successions.find(service);
          if (found != this->stop->successions.end())
            found->second.OnReply(name, reply, kernel::Now());
        });
  }
}

void Node::SendSuccession(
    const SuccessionRequest& request, const std::string& instance,
    std::function<void(const std::optional<SuccessionReply>&)> done) {
  const auto known = this->readers.Instances().find(instance);
  if (known == this->readers.Instances().end()) return done(std::nullopt);
  this->PostToPeer(
      known->second.peer_address, kSuccessionPath, EncodeSuccession(request),
      [done = std::move(done)](const net::TransferResult& result) {
        if (result.end != net::TransferEnd::kComplete ||
            result.answer.status != 200) {
          return done(std::nullopt);
        }
        const auto reply = DecodeSuccessionReply(result.answer.body);
        done(reply ? std::optional(reply.value()) : std::nullopt);
      });
}

SuccessionReply Node::OnSuccession(const SuccessionRequest& request) {
  SuccessionReply reply;
  reply.processor_share = this->settings.processor_share;
  const auto service = this->key_services.find(request.service);
  if (service == this->key_services.end()) return reply;
  reply.agrees = this->registered && this->Ready();
  // One that agreed and stops meanwhile leads until it finds a successor.
  if (request.lease_is_free) {
    this->inherited_leases.insert(request.service);
    service->second->Grantor().OnLeaderResigned(kernel::Now());
  }
  return reply;
}

/// Whether the process need not wait any longer for the store to free its
/// leases.
bool Node::HasResigned(Instant now) {
  bool leads = false;
  for (const auto& [name, service] : this->key_services) {
    if (!service->Leads()) continue;
    leads = true;
    service->Grantor().Resign();
  }
  if (!this->stop->resigns_until) this->stop->resigns_until = now + kResignTime;
  return !leads || now >= *this->stop->resigns_until;
}

/// Ends what is still open at callers, truthfully.
void Node::GiveLastAnswers() {
  if (std::exchange(this->stop->gave_last_answers, true)) return;
  observe::LogInfo(
      "stop_last_answers",
      {{"open_requests", std::to_string(this->callers->Pending())},
       {"connections", std::to_string(this->callers->Connections())}});
  this->links.EndAll();
  this->callers->EndPartialRequests(
      {kernel::ErrorKind::kStopping,
       "this instance ended before the request arrived whole"});
}

void Node::ContinueStop(Instant now) {
  this->HandOverLeadership(now);
  if (now < this->stop->accepts_until) return;
  this->callers->StopAccepting();
  if (now >= this->stop->last_answers_at) this->GiveLastAnswers();
  const bool idle =
      this->callers->Pending() == 0 && this->callers->Connections() == 0;
  const bool may_end = idle && this->HasResigned(now);
  if (!may_end && now < this->stop->ends_at) return;
  if (!idle) {
    observe::LogWarn(
        "stop_cut_off",
        {{"open_requests", std::to_string(this->callers->Pending())}});
  }
  if (this->on_stopped) std::exchange(this->on_stopped, nullptr)();
}

}  // namespace chervilmux::node
