// The part of RouterTask for cells that this instance leads: admission control,
// sending requests to the owner of the key, and the handling of queued and
// unfinished requests when owners change.

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

const LedCellView* RouterTask::FindLedCell(const std::string& cell) const {
  const auto found = this->view->led_cells.find(cell);
  return found == this->view->led_cells.end() ? nullptr : &found->second;
}

policy::ServerQueue& RouterTask::QueueForServer(const std::string& cell,
                                                const std::string& server) {
  const auto [entry, added] = this->queues.try_emplace(
      QueueKey{cell, server},
      policy::QueueLimits{1, this->limits.max_waiting_per_server});
  const LedCellView* led_cell = this->FindLedCell(cell);
  if (led_cell == nullptr) return entry->second;
  const auto server_view = led_cell->servers.find(server);
  if (server_view != led_cell->servers.end()) {
    entry->second.SetLimits(
        {server_view->second.slots, this->limits.max_waiting_per_server});
  }
  return entry->second;
}

void RouterTask::Defer(Job& job, ErrorKind why) {
  if (job.state != JobState::kDeferred) {
    this->metrics.CountError("chervilmux_held_total", why);
  }
  job.state = JobState::kDeferred;
}

void RouterTask::AdmitJob(Job& job) {
  const LedCellView* led_cell = this->FindLedCell(job.cell);
  if (led_cell == nullptr) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {ErrorKind::kNotPrimary,
                            "this instance no longer leads the cell"});
    return;
  }
  const std::string owner(led_cell->serving->OwnerOf(job.key_hash));
  const bool key_is_moving =
      led_cell->next && led_cell->next->OwnerOf(job.key_hash) != owner;
  if (owner.empty() || key_is_moving) {
    this->Defer(
        job, key_is_moving ? ErrorKind::kOwnershipMoving : ErrorKind::kNoOwner);
    return;
  }
  const auto server = led_cell->servers.find(owner);
  if (server == led_cell->servers.end() ||
      server->second.send_until <= kernel::Now()) {
    this->Defer(job, ErrorKind::kRightLapsed);
    return;
  }
  job.server = owner;
  const auto refused =
      this->QueueForServer(job.cell, owner)
          .TryEnqueue({job.id, job.key_hash, job.deadline, job.retried},
                      kernel::Now());
  if (refused) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {*refused, "refused by admission control"});
    return;
  }
  job.state = JobState::kQueued;
  this->SendQueuedJobs({job.cell, owner});
}

void RouterTask::AdmitDeferredJobs() {
  std::vector<std::uint64_t> deferred_job_ids;
  for (const auto& [id, job] : this->jobs) {
    if (job->state == JobState::kDeferred) deferred_job_ids.push_back(id);
  }
  std::ranges::sort(deferred_job_ids);
  for (const std::uint64_t id : deferred_job_ids) {
    Job* job = this->FindJob(id);
    if (job != nullptr) this->AdmitJob(*job);
  }
}

void RouterTask::SendQueuedJobs(const QueueKey& key) {
  while (true) {
    policy::ServerQueue& queue = this->QueueForServer(key.cell, key.server);
    const auto id = queue.PopNext(kernel::Now());
    if (!id) return;
    Job* job = this->FindJob(*id);
    if (job == nullptr) kernel::InternalError("queued job does not exist");
    this->SendToServer(*job);
  }
}

void RouterTask::SendToServer(Job& job) {
  const LedCellView* led_cell = this->FindLedCell(job.cell);
  const Instant now = kernel::Now();
  // Ownership may have changed while the job was queued, so it is checked again
  // immediately before sending.
  const bool still_owner =
      led_cell != nullptr &&
      led_cell->serving->OwnerOf(job.key_hash) == job.server &&
      (!led_cell->next || led_cell->next->OwnerOf(job.key_hash) == job.server);
  const ServerView* server = nullptr;
  if (still_owner) {
    const auto found = led_cell->servers.find(job.server);
    if (found != led_cell->servers.end()) server = &found->second;
  }
  if (server == nullptr || server->send_until <= now) {
    this->QueueForServer(job.cell, job.server).OnFailed(job.key_hash);
    this->Defer(job, ErrorKind::kRightLapsed);
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
  job.sent_version = led_cell->serving_version;
  const std::uint64_t id = job.id;
  job.transfer = this->servers.Start(
      backend::BuildRequest(server->address, job.request, stamp), options,
      [this, id](net::TransferResult result) {
        this->OnServerAnswer(id, std::move(result));
      });
}

void RouterTask::OnServerAnswer(std::uint64_t id, net::TransferResult result) {
  Job* job = this->FindJob(id);
  if (job == nullptr || job->state != JobState::kSent) return;
  const QueueKey key{job->cell, job->server};
  policy::ServerQueue& queue = this->QueueForServer(key.cell, key.server);
  job->transfer = 0;
  job->state = JobState::kBackoff;
  auto answer = backend::ReadAnswer(std::move(result), job->request_id);
  this->metrics.Time("chervilmux_server_seconds")
      .Observe(kernel::Now() - job->sent_at);
  if (answer) {
    queue.OnAnswered(job->key_hash, kernel::Now() - job->sent_at);
    Reply reply{std::move(answer), job->server, job->sent_version};
    this->FinishJob(*job, std::move(reply));
  } else {
    const Error error = answer.error();
    if (error.kind == ErrorKind::kServerShed) {
      queue.OnShed(job->key_hash);
    } else {
      queue.OnFailed(job->key_hash);
      const bool may_run =
          kernel::TraitsOf(error.kind).outcome == kernel::Outcome::kUnknown;
      if (may_run) this->RecordAbandoned(*job);
    }
    this->FailAttempt(*job, error);
  }
  this->SendQueuedJobs(key);
  this->ReportRequestsForMovingKeys();
}

void RouterTask::RerouteQueuedJobs(const QueueKey& key) {
  const auto queue = this->queues.find(key);
  if (queue == this->queues.end()) return;
  for (const std::uint64_t id : queue->second.PopAll()) {
    Job* job = this->FindJob(id);
    if (job == nullptr) continue;
    job->state = JobState::kBackoff;
    this->RouteJob(*job);
  }
}

void RouterTask::RerouteStaleQueues() {
  std::vector<QueueKey> stale_queues;
  for (auto& [key, queue] : this->queues) {
    const LedCellView* led_cell = this->FindLedCell(key.cell);
    if (led_cell == nullptr) {
      stale_queues.push_back(key);
      continue;
    }
    const auto server = led_cell->servers.find(key.server);
    // Whether the server owns keys according to the newest row.
    const bool in = server != led_cell->servers.end() && server->second.in;
    if (!in) queue.ResetConcurrency();
    if (!in || led_cell->next) stale_queues.push_back(key);
  }
  for (const auto& key : stale_queues) this->RerouteQueuedJobs(key);
}

void RouterTask::FailJobsAtLostServers() {
  // A server that lost its keys because it stopped answering is not expected to
  // answer the requests that it has.
  std::vector<std::uint64_t> lost_job_ids;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led_cell = this->FindLedCell(job->cell);
    if (led_cell == nullptr) continue;
    const auto server = led_cell->servers.find(job->server);
    if (server != led_cell->servers.end() && server->second.lost)
      lost_job_ids.push_back(id);
  }
  for (const std::uint64_t id : lost_job_ids) {
    Job* job = this->FindJob(id);
    if (job == nullptr) continue;
    this->QueueForServer(job->cell, job->server).OnFailed(job->key_hash);
    this->RecordAbandoned(*job);
    job->state = JobState::kBackoff;
    this->servers.Cancel(std::exchange(job->transfer, 0));
    this->FailAttempt(*job,
                      {ErrorKind::kServerSilent, "server stopped answering"});
  }
}

void RouterTask::ReportRequestsForMovingKeys() {
  if (!this->moving) return;
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const auto& [cell, led_cell] : this->view->led_cells) {
    if (!led_cell.next) continue;
    for (const auto& [server, entry] : led_cell.servers)
      counts[{cell, server}] = 0;
  }
  if (counts.empty()) return;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led_cell = this->FindLedCell(job->cell);
    if (led_cell == nullptr || !led_cell->next) continue;
    if (led_cell->next->OwnerOf(job->key_hash) == job->server) continue;
    counts[{job->cell, job->server}] += 1;
  }
  for (const auto& request : this->abandoned_requests) {
    const LedCellView* led_cell = this->FindLedCell(request.queue_key.cell);
    if (led_cell == nullptr || !led_cell->next) continue;
    if (led_cell->next->OwnerOf(request.key_hash) == request.queue_key.server)
      continue;
    counts[{request.queue_key.cell, request.queue_key.server}] += 1;
  }
  for (const auto& [queue, count] : counts) {
    this->moving(queue.first, this->view->led_cells.at(queue.first).version,
                 queue.second, count);
  }
}

void RouterTask::RecordAbandoned(const Job& job) {
  this->abandoned_requests.push_back(
      {{job.cell, job.server}, job.key_hash, job.deadline});
}

void RouterTask::CancelAtServer(const Job& job) {
  const LedCellView* led_cell = this->FindLedCell(job.cell);
  if (led_cell == nullptr) return;
  const auto server = led_cell->servers.find(job.server);
  if (server == led_cell->servers.end()) return;
  net::TransferOptions options;
  options.deadline = kernel::Now() + kernel::seconds(1);
  this->servers.Start(
      backend::BuildCancel(server->second.address, job.request_id), options,
      [](const net::TransferResult&) {});
}

}  // namespace chervilmux::routing
