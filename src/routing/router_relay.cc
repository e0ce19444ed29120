// The part of RouterTask that relays requests and replies between instances.

#include <utility>

#include "routing/router_task.h"

namespace chervilmux::routing {
namespace {

using kernel::ErrorKind;
using kernel::Fail;
using kernel::Instant;

}  // namespace

void RouterTask::RelayToPrimary(Job& job,
                                const membership::CellLeader& leader) {
  auto& link = this->link_by_address[leader.peer_address];
  if (link == 0) link = this->relay_endpoint.Connect(leader.peer_address);
  RelayRequest frame;
  frame.id = ++this->last_id;
  frame.request_id = job.request_id;
  frame.service = job.service;
  frame.cell = job.cell;
  frame.key_hash = job.key_hash;
  frame.remaining = job.deadline - kernel::Now();
  frame.idempotent = job.idempotent;
  frame.retried = job.retried;
  frame.request = job.request;
  if (!this->relay_endpoint.Send(link, Encode(frame))) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {ErrorKind::kPrimaryUnreachable,
                            "relay link is closed or its backlog is full"});
    return;
  }
  job.state = JobState::kRelayed;
  job.link = link;
  job.relay_id = frame.id;
  job.relay_address = leader.peer_address;
  job.relay_term = leader.term;
  this->job_by_relay_id[frame.id] = job.id;
  this->metrics.Count("chervilmux_relayed_total").Add();
}

void RouterTask::OnFrame(net::LinkId link, std::string_view bytes) {
  auto decoded = Decode(bytes);
  if (!decoded) {
    this->metrics.CountError("chervilmux_messages_refused_total",
                             decoded.error().kind);
    this->relay_endpoint.Close(link);
    return;
  }
  RelayFrame frame = std::move(decoded).value();
  if (auto* request = std::get_if<RelayRequest>(&frame)) {
    this->OnRelayRequest(link, std::move(*request));
  } else if (auto* reply = std::get_if<RelayReply>(&frame)) {
    this->OnRelayReply(link, std::move(*reply));
  } else {
    this->OnRelayCancel(link, std::get<RelayCancel>(frame).id);
  }
}

void RouterTask::OnRelayRequest(net::LinkId link, RelayRequest frame) {
  const Instant now = kernel::Now();
  auto owned_job = std::make_unique<Job>();
  Job& job = *owned_job;
  job.id = ++this->last_id;
  job.request_id = frame.request_id;
  job.request = std::move(frame.request);
  job.service = std::move(frame.service);
  job.cell = std::move(frame.cell);
  job.key_hash = frame.key_hash;
  job.arrived_at = now;
  job.deadline = now + frame.remaining;
  job.idempotent = frame.idempotent;
  job.from_relay = true;
  job.retried = frame.retried;
  const std::uint64_t relay_id = frame.id;
  const std::uint64_t id = job.id;
  this->incoming_relays[{link, relay_id}] = id;
  job.reply = [this, link, relay_id,
               request_id = std::move(frame.request_id)](Reply reply) {
    this->incoming_relays.erase({link, relay_id});
    this->relay_endpoint.Send(
        link, Encode(RelayReply{relay_id, request_id, std::move(reply)}));
  };
  this->jobs.emplace(id, std::move(owned_job));
  this->RouteJob(job);
}

void RouterTask::OnRelayReply(net::LinkId link, RelayReply frame) {
  // The relay id of a cancelled or failed attempt has been removed, so a reply
  // to it is late.
  const auto relayed = this->job_by_relay_id.extract(frame.id);
  Job* job = relayed ? this->FindJob(relayed.mapped()) : nullptr;
  const bool expected = job != nullptr && job->state == JobState::kRelayed &&
                        job->link == link &&
                        job->request_id == frame.request_id;
  if (!expected) {
    this->metrics.Count("chervilmux_late_replies_total").Add();
    return;
  }
  job->state = JobState::kBackoff;
  if (frame.reply.answer) {
    this->FinishJob(*job, std::move(frame.reply));
    return;
  }
  this->FailAttempt(*job, frame.reply.answer.error());
}

void RouterTask::OnRelayCancel(net::LinkId link, std::uint64_t id) {
  const auto found = this->incoming_relays.find({link, id});
  if (found == this->incoming_relays.end()) return;
  Job* job = this->FindJob(found->second);
  if (job == nullptr) return;
  this->FinishJob(
      *job, {Fail(ErrorKind::kCallerGone, "cancelled by the relaying instance"),
             "",
             {}});
}

void RouterTask::OnLinkClosed(net::LinkId link, bool nothing_sent) {
  std::erase_if(this->link_by_address,
                [&](const auto& entry) { return entry.second == link; });
  std::vector<std::uint64_t> lost_job_ids;
  for (const auto& [id, job] : this->jobs) {
    if (job->state == JobState::kRelayed && job->link == link) {
      lost_job_ids.push_back(id);
    }
  }
  for (const std::uint64_t id : lost_job_ids) {
    Job* job = this->FindJob(id);
    if (job == nullptr) continue;
    this->job_by_relay_id.erase(job->relay_id);
    job->state = JobState::kBackoff;
    const ErrorKind kind =
        nothing_sent ? ErrorKind::kPrimaryUnreachable : ErrorKind::kRelayLost;
    this->FailAttempt(*job, {kind, "relay link closed before the reply"});
  }
}

void RouterTask::CancelRelay(Job& job) {
  this->job_by_relay_id.erase(job.relay_id);
  this->relay_endpoint.Send(job.link, Encode(RelayCancel{job.relay_id}));
}

void RouterTask::RerouteStaleRelays() {
  // When the cell has a newer leader, idempotent requests are sent to it,
  // because the previous leader is not expected to answer sooner.
  std::vector<std::uint64_t> stale_job_ids;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kRelayed || !job->idempotent) continue;
    const auto leader = this->view->leader_by_cell.find(job->cell);
    const bool is_led_here = this->FindLedCell(job->cell) != nullptr;
    const bool has_newer_leader =
        leader != this->view->leader_by_cell.end() &&
        leader->second.term > job->relay_term &&
        leader->second.peer_address != job->relay_address;
    if (is_led_here || has_newer_leader) stale_job_ids.push_back(id);
  }
  for (const std::uint64_t id : stale_job_ids) {
    Job* job = this->FindJob(id);
    if (job == nullptr) continue;
    this->CancelRelay(*job);
    job->state = JobState::kBackoff;
    job->possibly_run = true;
    this->metrics.Count("chervilmux_rerouted_total").Add();
    this->RouteJob(*job);
  }
}

}  // namespace chervilmux::routing
