// The part of RouterTask that works as the primary of a cell: admission,
// sending to the owner, and what a change of owners asks of it.

#include <algorithm>
#include <utility>

#include "backend/server_protocol.h"
#include "routing/router_task.h"

namespace chervilmux::routing {
namespace {

using kernel::Error;
using kernel::ErrorKind;
using kernel::Fail;
using kernel::Instant;

}  // namespace

const LedCellView* RouterTask::Led(const std::string& cell) const {
  const auto found = this->view->led.find(cell);
  return found == this->view->led.end() ? nullptr : &found->second;
}

policy::ServerQueue& RouterTask::QueueOf(const std::string& cell,
                                         const std::string& server) {
  const auto [entry, added] = this->queues.try_emplace(
      QueueKey{cell, server},
      policy::QueueLimits{1, this->limits.max_waiting_per_server});
  const LedCellView* led = this->Led(cell);
  if (led == nullptr) return entry->second;
  const auto known = led->servers.find(server);
  if (known != led->servers.end()) {
    entry->second.SetLimits(
        {known->second.slots, this->limits.max_waiting_per_server});
  }
  return entry->second;
}

void RouterTask::Hold(Job& job, ErrorKind why) {
  if (job.state != JobState::kHeld) {
    this->metrics.CountError("chervilmux_held_total", why);
  }
  job.state = JobState::kHeld;
}

void RouterTask::Admit(Job& job) {
  const LedCellView* led = this->Led(job.cell);
  if (led == nullptr) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {ErrorKind::kNotPrimary, "leadership moved"});
    return;
  }
  const std::string owner(led->serving->OwnerOf(job.key_hash));
  const bool moves = led->next && led->next->OwnerOf(job.key_hash) != owner;
  if (owner.empty() || moves) {
    this->Hold(job, moves ? ErrorKind::kOwnershipMoving : ErrorKind::kNoOwner);
    return;
  }
  const auto server = led->servers.find(owner);
  if (server == led->servers.end() ||
      server->second.send_until <= kernel::Now()) {
    this->Hold(job, ErrorKind::kRightLapsed);
    return;
  }
  job.server = owner;
  const auto refused =
      this->QueueOf(job.cell, owner)
          .TryEnqueue({job.id, job.key_hash, job.deadline, job.retried},
                      kernel::Now());
  if (refused) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {*refused, "refused by admission"});
    return;
  }
  job.state = JobState::kQueued;
  this->Pump({job.cell, owner});
}

void RouterTask::AdmitHeld() {
  std::vector<std::uint64_t> held;
  for (const auto& [id, job] : this->jobs) {
    if (job->state == JobState::kHeld) held.push_back(id);
  }
  std::ranges::sort(held);
  for (const std::uint64_t id : held) {
    Job* job = this->Find(id);
    if (job != nullptr) this->Admit(*job);
  }
}

void RouterTask::Pump(const QueueKey& key) {
  while (true) {
    policy::ServerQueue& queue = this->QueueOf(key.cell, key.server);
    const auto id = queue.PopNext(kernel::Now());
    if (!id) return;
    Job* job = this->Find(*id);
    if (job == nullptr) kernel::InternalError("queued job does not exist");
    this->SendToServer(*job);
  }
}

void RouterTask::SendToServer(Job& job) {
  const LedCellView* led = this->Led(job.cell);
  const Instant now = kernel::Now();
  // Ownership may have changed while the job waited: look once more,
  // immediately before the first byte leaves.
  const bool still_owner =
      led != nullptr && led->serving->OwnerOf(job.key_hash) == job.server &&
      (!led->next || led->next->OwnerOf(job.key_hash) == job.server);
  const ServerView* server = nullptr;
  if (still_owner) {
    const auto found = led->servers.find(job.server);
    if (found != led->servers.end()) server = &found->second;
  }
  if (server == nullptr || server->send_until <= now) {
    this->QueueOf(job.cell, job.server).OnFailed(job.key_hash);
    this->Hold(job, ErrorKind::kRightLapsed);
    return;
  }
  backend::RequestStamp stamp;
  stamp.cell = job.cell;
  stamp.token = server->token;
  stamp.request_id = job.request_id;
  stamp.remaining = job.deadline - now;
  net::TransferOptions options;
  options.deadline = job.deadline;
  options.max_answer_bytes = this->limits.max_answer_bytes;
  options.may_repeat = job.idempotent;
  job.state = JobState::kSent;
  job.sent_at = now;
  job.sent_version = led->serving_version;
  const std::uint64_t id = job.id;
  job.transfer = this->servers.Start(
      backend::BuildRequest(server->address, job.request, stamp), options,
      [this, id](net::TransferResult result) {
        this->OnServerAnswer(id, std::move(result));
      });
}

void RouterTask::OnServerAnswer(std::uint64_t id, net::TransferResult result) {
  Job* job = this->Find(id);
  if (job == nullptr || job->state != JobState::kSent) return;
  const QueueKey key{job->cell, job->server};
  policy::ServerQueue& queue = this->QueueOf(key.cell, key.server);
  job->transfer = 0;
  job->state = JobState::kBackoff;
  auto answer = backend::ReadAnswer(std::move(result), job->request_id);
  this->metrics.Time("chervilmux_server_seconds")
      .Observe(kernel::Now() - job->sent_at);
  if (answer) {
    queue.OnAnswered(job->key_hash, kernel::Now() - job->sent_at);
    Reply reply{std::move(answer), job->server, job->sent_version};
    this->Finish(*job, std::move(reply));
  } else {
    const Error error = answer.error();
    if (error.kind == ErrorKind::kServerShed) {
      queue.OnShed(job->key_hash);
    } else {
      queue.OnFailed(job->key_hash);
      const bool may_run =
          kernel::TraitsOf(error.kind).outcome == kernel::Outcome::kUnknown;
      if (may_run) this->Abandon(*job);
    }
    this->FailAttempt(*job, error);
  }
  this->Pump(key);
  this->ReportMoving();
}

void RouterTask::Requeue(const QueueKey& key) {
  const auto queue = this->queues.find(key);
  if (queue == this->queues.end()) return;
  for (const std::uint64_t id : queue->second.PopAll()) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    job->state = JobState::kBackoff;
    this->Route(*job);
  }
}

void RouterTask::DropOutServers() {
  std::vector<QueueKey> stale;
  for (auto& [key, queue] : this->queues) {
    const LedCellView* led = this->Led(key.cell);
    if (led == nullptr) {
      stale.push_back(key);
      continue;
    }
    const auto server = led->servers.find(key.server);
    const bool in = server != led->servers.end() && server->second.in;
    if (!in) queue.ResetConcurrency();
    if (!in || led->next) stale.push_back(key);
  }
  for (const auto& key : stale) this->Requeue(key);
}

void RouterTask::DropLostRequests() {
  // No answer is to be expected from a server that was set aside as lost.
  std::vector<std::uint64_t> lost;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led = this->Led(job->cell);
    if (led == nullptr) continue;
    const auto server = led->servers.find(job->server);
    if (server != led->servers.end() && server->second.lost) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    this->QueueOf(job->cell, job->server).OnFailed(job->key_hash);
    this->Abandon(*job);
    job->state = JobState::kBackoff;
    this->servers.Cancel(std::exchange(job->transfer, 0));
    this->FailAttempt(*job, {ErrorKind::kServerSilent, "server was lost"});
  }
}

void RouterTask::ReportMoving() {
  if (!this->moving) return;
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const auto& [cell, led] : this->view->led) {
    if (!led.next) continue;
    for (const auto& [server, entry] : led.servers) counts[{cell, server}] = 0;
  }
  if (counts.empty()) return;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led = this->Led(job->cell);
    if (led == nullptr || !led->next) continue;
    if (led->next->OwnerOf(job->key_hash) == job->server) continue;
    counts[{job->cell, job->server}] += 1;
  }
  for (const auto& request : this->abandoned) {
    const LedCellView* led = this->Led(request.place.cell);
    if (led == nullptr || !led->next) continue;
    if (led->next->OwnerOf(request.key_hash) == request.place.server) continue;
    counts[{request.place.cell, request.place.server}] += 1;
  }
  for (const auto& [place, count] : counts) {
    this->moving(place.first, this->view->led.at(place.first).version,
                 place.second, count);
  }
}

void RouterTask::Abandon(const Job& job) {
  this->abandoned.push_back(
      {{job.cell, job.server}, job.key_hash, job.deadline});
}

void RouterTask::CancelAtServer(const Job& job) {
  const LedCellView* led = this->Led(job.cell);
  if (led == nullptr) return;
  const auto server = led->servers.find(job.server);
  if (server == led->servers.end()) return;
  net::TransferOptions options;
  options.deadline = kernel::Now() + kernel::seconds(1);
  this->servers.Start(
      backend::BuildCancel(server->second.address, job.request_id), options,
      [](const net::TransferResult&) {});
}

}  // namespace chervilmux::routing
