// Node: what instances tell each other.

#include <algorithm>
#include <optional>
#include <utility>

#include "net/compression.h"
#include "node/fan_out.h"
#include "node/node.h"
#include "observe/log.h"

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// How often an instance asks its peers what it lacks. Two rounds fit well into
/// the 2 s in which a configuration must be in force.
constexpr Duration kSyncPeriod = milliseconds(500);
constexpr Duration kPeerTimeout = milliseconds(400);
/// An answer with a large configuration takes longer: the peer makes it for
/// many instances at once.
constexpr Duration kSyncTimeout = milliseconds(600);
/// An instance that did not take a change of owners gets none for this long;
/// those that would have heard it from that instance get it directly.
constexpr Duration kUnreachableTime = milliseconds(3000);
/// As much as one answer of the store may hold.
constexpr std::size_t kMaxSyncBytes = 8U << 20U;
/// An instance that has just started asks one more peer for this long: those
/// that it would ask may know no more than the store does.
constexpr Duration kNewcomerTime = milliseconds(3000);
constexpr std::string_view kSyncPath = "/peer/sync";
constexpr std::string_view kOwnersPath = "/peer/owners";

NoticeToLeader ForMessage(const policy::ServerNotice& notice, Instant now) {
  NoticeToLeader message{notice.server, kernel::ToMs(now - notice.received_at),
                         std::nullopt};
  if (notice.kind == policy::NoticeKind::kBackOff) {
    message.back_off_ms =
        kernel::ToMs(std::max(Duration(0), notice.until - now));
  }
  return message;
}

policy::ServerNotice FromMessage(const NoticeToLeader& message, Instant now) {
  policy::ServerNotice notice;
  notice.server = message.server;
  notice.received_at = now - milliseconds(message.age_ms);
  if (message.back_off_ms) {
    const Duration left = milliseconds(*message.back_off_ms);
    notice.kind = policy::NoticeKind::kBackOff;
    notice.until = now + std::min(left, policy::kMaxBackOff);
  }
  return notice;
}

}  // namespace

std::set<std::string> Node::SyncTargets(Instant now) {
  std::set<std::string> targets;
  const InstancesByName& instances = this->readers.Instances();
  const bool through_reader = !this->readers.LeaderSource(now).empty();
  for (const auto& [name, service] : this->key_services) {
    // A reader that has heard nothing of the leader for a while may be cut off.
    if (through_reader && service->Grantor().HasLeaderContact(now)) continue;
    const auto leader = instances.find(service->Owners().leader);
    if (leader == instances.end()) continue;
    targets.insert(leader->second.peer_address);
  }
  for (auto& address : this->readers.Sources(now, this->random())) {
    targets.insert(std::move(address));
  }
  if (now - this->started_at < kNewcomerTime || !this->was_answered) {
    if (auto address = this->readers.AnyPeer(this->random()))
      targets.insert(std::move(*address));
  }
  targets.erase(this->self.peer_address);
  return targets;
}

void Node::Sync(Instant now) {
  if (now < this->next_sync) {
    this->SendDueNotices();
    return;
  }
  this->next_sync = now + kSyncPeriod;
  for (const auto& [name, service] : this->key_services) {
    // The leader's own key load needs no message.
    if (service->Leads()) {
      service->Grantor().OnLoadReport(service->Sketch().TakeCounts());
    }
  }
  for (const auto& address : this->SyncTargets(now)) this->SendSync(address);
}

std::string Node::LeaderAddress(const KeyService& service) const {
  const auto leader = this->readers.Instances().find(service.Owners().leader);
  return leader == this->readers.Instances().end()
             ? std::string()
             : leader->second.peer_address;
}

void Node::SendDueNotices() {
  for (const auto& [name, service] : this->key_services) {
    if (!service->Notices().IsDue()) continue;
    const std::string address = this->LeaderAddress(*service);
    if (!address.empty()) this->SendSync(address);
  }
}

NoticesByService Node::NoticesFor(const std::string& address) {
  NoticesByService notices;
  std::size_t room = kMaxNoticesPerSync;
  for (const auto& [name, service] : this->key_services) {
    if (this->LeaderAddress(*service) != address) continue;
    NoticeBatch batch =
        service->Notices().Untold(service->Leader(), room, kernel::Now());
    room -= batch.notices.size();
    if (!batch.notices.empty()) notices.emplace(name, std::move(batch));
  }
  return notices;
}

void Node::OnNoticesTold(const NoticesByService& told) {
  for (const auto& [name, batch] : told) {
    const auto service = this->key_services.find(name);
    if (service != this->key_services.end())
      service->second->Notices().OnTold(batch);
  }
}

void Node::SendSync(const std::string& address) {
  if (address == this->self.peer_address) return;
  if (!this->syncing.insert(address).second) return;
  SyncRequest request;
  request.sender = this->self;
  for (const TableFollower* follower : this->Followers()) {
    request.table_versions[follower->Table()] = follower->Copy().AsOf();
  }
  request.configuration_version =
      this->configuration ? this->configuration->version : 0;
  const bool to_reader = this->readers.LeaderSource(kernel::Now()) == address;
  for (const auto& [name, service] : this->key_services) {
    const auto& owners = service->Owners();
    request.view_versions[name] = {owners.term, owners.sequence};
    if (this->lacks_changes.erase(name) > 0)
      request.view_versions[name] = ViewVersion();
    const bool to_leader =
        to_reader || this->LeaderAddress(*service) == address;
    if (to_leader) request.key_load[name] = service->Sketch().TakeCounts();
  }
  const NoticesByService told = this->NoticesFor(address);
  for (const auto& [name, batch] : told) {
    for (const auto& notice : batch.notices) {
      request.notices[name].push_back(ForMessage(notice, kernel::Now()));
    }
  }
  this->PostToPeer(
      address, kSyncPath, EncodeSync(request),
      [this, address, told,
       sent_at = kernel::Now()](const net::TransferResult& result) {
        this->syncing.erase(address);
        if (result.end != net::TransferEnd::kComplete ||
            result.answer.status != 200) {
          this->metrics.Count("chervilmux_syncs_failed_total").Add();
          this->readers.OnPeerSilent(address, kernel::Now());
          return;
        }
        this->OnNoticesTold(told);
        auto reply = DecodeSyncReply(result.answer.body);
        if (reply) {
          this->OnSyncReply(reply.value(), sent_at);
        } else {
          observe::LogWarn("sync_malformed",
                           {{"peer", address}, {"why", reply.error().detail}});
        }
      });
}

void Node::PostToPeer(const std::string& address, std::string_view path,
                      std::string body,
                      std::function<void(const net::TransferResult&)> done) {
  net::HttpRequest request;
  request.method = "POST";
  request.url = "http://" + address + std::string(path);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  net::TransferOptions options;
  options.deadline =
      kernel::Now() + (path == kSyncPath ? kSyncTimeout : kPeerTimeout);
  options.may_repeat = true;
  options.accepts_compressed = true;
  options.max_answer_bytes = kMaxSyncBytes;
  this->client.Start(request, options, std::move(done));
}

void Node::OnSyncReply(const SyncReply& reply, Instant sent_at) {
  this->was_answered = true;
  for (TableFollower* follower : this->Followers()) {
    const auto changes = reply.tables.find(follower->Table());
    if (changes != reply.tables.end()) follower->ApplyFromPeer(changes->second);
  }
  this->TakeProofs(reply, sent_at);
  this->TakeWhatTheStoreLost(reply);
  for (const auto& view : reply.views) {
    const auto service = this->key_services.find(view.service);
    if (service == this->key_services.end()) continue;
    const bool from_leader =
        std::ranges::find(reply.leads, view.service) != reply.leads.end();
    service->second->OnView(view, from_leader);
  }
  for (const auto& [name, age_ms] : reply.leader_heard_ms_ago) {
    const auto service = this->key_services.find(name);
    if (service != this->key_services.end())
      service->second->Grantor().OnLeaderHeardOf(sent_at -
                                                 milliseconds(age_ms));
  }
  for (const auto& name : reply.leads) {
    const auto service = this->key_services.find(name);
    if (service != this->key_services.end()) service->second->OnLeaderAlive();
  }
}

void Node::TakeProofs(const SyncReply& reply, Instant sent_at) {
  for (TableFollower* follower : this->ProvedTables()) {
    const auto told = reply.proofs.find(follower->Table());
    if (told == reply.proofs.end()) continue;
    const TableProof& proof = told->second;
    CopyProof taken{sent_at - milliseconds(proof.age_ms)};
    if (proof.failed_ms_ago)
      taken.store_failed_at = sent_at - milliseconds(*proof.failed_ms_ago);
    follower->ApplyPeerProof(proof.as_of, taken);
  }
  const bool is_older_build = reply.proofs.empty();
  if (!is_older_build || reply.knowledge_age_ms < 0) return;
  // What belongs to an earlier era says nothing about the store as it is.
  const replica::TableVersion as_of = this->configuration_table.Copy().AsOf();
  if (reply.knowledge_era < as_of.era) return;
  this->configuration_table.ApplyPeerProof(
      as_of, {sent_at - milliseconds(reply.knowledge_age_ms)});
}

void Node::TakeWhatTheStoreLost(const SyncReply& reply) {
  if (!reply.configuration.empty()) {
    auto decoded = this->formats.DecodeConfiguration(reply.configuration);
    if (decoded) {
      this->TakeConfiguration(std::move(decoded.value()), reply.configuration);
    } else {
      observe::LogWarn("peer_configuration_invalid",
                       {{"why", decoded.error().detail}});
    }
  }
  if (!this->servers.LearnFromPeer(reply.departures, kernel::Now())) return;
  observe::LogInfo("departures_from_peer",
                   {{"count", std::to_string(reply.departures.size())}});
  this->OnServerRows();
}

void Node::AddWhatTheStoreLost(const SyncRequest& request,
                               SyncReply& reply) const {
  reply.departures = this->servers.Departures();
  const bool asker_is_behind =
      this->configuration && request.configuration_version &&
      *request.configuration_version < this->configuration->version;
  if (!asker_is_behind) return;
  const auto table =
      reply.tables.find(std::string(this->formats.ConfigurationTable()));
  const bool is_told =
      table != reply.tables.end() &&
      std::ranges::find(table->second.rows, this->configuration_text,
                        &store::Row::value) != table->second.rows.end();
  if (!is_told) reply.configuration = this->configuration_text;
}

SyncReply Node::ReplyTo(const SyncRequest& request) {
  SyncReply reply;
  const Instant now = kernel::Now();
  for (const TableFollower* follower : this->Followers()) {
    const auto known = request.table_versions.find(follower->Table());
    const replica::TableVersion since = known == request.table_versions.end()
                                            ? replica::TableVersion()
                                            : known->second;
    const replica::RowReplica& copy = follower->Copy();
    if (copy.AsOf() <= since) continue;
    TableChanges& changes = reply.tables[follower->Table()];
    changes.all = !copy.HasHistorySince(since);
    changes.rows = copy.ChangesAfter(changes.all ? 0 : since.version);
    if (changes.all) {
      std::erase_if(changes.rows,
                    [](const store::Row& row) { return row.removed; });
    }
    changes.as_of = copy.AsOf();
  }
  this->AddWhatTheStoreLost(request, reply);
  for (const auto& [name, service] : this->key_services) {
    const bool leads = service->Grantor().MayChangeOwners(now);
    const Instant leader_heard = service->Grantor().LastLeaderContact();
    if (leads) {
      reply.leads.push_back(name);
    } else if (!service->Leads() && leader_heard != kernel::kNever) {
      reply.leader_heard_ms_ago[name] = kernel::ToMs(now - leader_heard);
    }
    const auto load = request.key_load.find(name);
    if (load != request.key_load.end() && service->Leads()) {
      service->Grantor().OnLoadReport(load->second);
    } else if (load != request.key_load.end()) {
      service->Sketch().Add(load->second);
    }
    const auto notices = request.notices.find(name);
    if (notices != request.notices.end()) {
      for (const auto& notice : notices->second) {
        service->OnNotice(FromMessage(notice, now), request.sender.name);
      }
    }
    const auto known = request.view_versions.find(name);
    const ViewVersion since =
        known == request.view_versions.end() ? ViewVersion() : known->second;
    // Changes of one term reach all in the tree; only who missed one, or has
    // nothing to which they apply, needs the whole view.
    const ViewVersion current(service->Owners().term,
                              service->Owners().sequence);
    const bool missed_changes =
        since.first != current.first || service->HeardByAll(now) > since;
    if (current > since && missed_changes)
      reply.views.push_back(service->Owners());
  }
  for (const TableFollower* follower : this->ProvedTables()) {
    const CopyProof& proof = follower->Proof();
    if (proof.known_as_of == kernel::kNever) continue;
    TableProof& told = reply.proofs[follower->Table()];
    told.as_of = follower->Copy().AsOf();
    told.age_ms = kernel::ToMs(now - proof.known_as_of);
    if (proof.store_failed_at != kernel::kNever)
      told.failed_ms_ago = kernel::ToMs(now - proof.store_failed_at);
  }
  if (const auto age = this->readers.KnowledgeAge(now)) {
    reply.knowledge_age_ms = kernel::ToMs(*age);
    reply.knowledge_era = this->configuration_table.Copy().Era();
  }
  const Instant store_failed_at = this->server_table.Proof().store_failed_at;
  if (store_failed_at != kernel::kNever)
    reply.store_trouble_ms_ago = kernel::ToMs(now - store_failed_at);
  return reply;
}

void Node::OnHeardFrom(const InstanceRecord& peer) {
  if (!this->readers.OnHeardFrom(peer)) return;
  observe::LogInfo("instance_heard_from",
                   {{"name", peer.name}, {"address", peer.peer_address}});
  this->TellDispatcherOfInstances();
}

void Node::OnPeerRequest(const net::RequestRef& ref,
                         const net::HttpRequest& request) {
  if (request.url == kSyncPath) {
    auto decoded = DecodeSync(request.body);
    if (decoded) this->OnHeardFrom(decoded.value().sender);
    net::HttpAnswer answer =
        decoded ? net::PlainAnswer(
                      200, EncodeSyncReply(this->ReplyTo(decoded.value())))
                : net::PlainAnswer(400, decoded.error().detail);
    net::CompressFor(request, answer);
    this->peers->Answer(ref, std::move(answer));
  } else if (request.url == kSuccessionPath) {
    const auto decoded = DecodeSuccession(request.body);
    this->peers->Answer(
        ref, decoded ? net::PlainAnswer(
                           200, EncodeSuccessionReply(
                                    this->OnSuccession(decoded.value())))
                     : net::PlainAnswer(400, decoded.error().detail));
  } else if (request.url == kOwnersPath) {
    this->OnChangedOwners(request.body);
    this->peers->Answer(ref, net::PlainAnswer(200));
  } else {
    this->peers->Answer(ref, net::PlainAnswer(404));
  }
}

void Node::Publish(const ranges::RangeDelta& change) {
  this->PassOn(change.leader, ranges::EncodeDelta(change), this->self.name);
}

/// Sends a change of owners to the instances that hear it from `sender`. The
/// leader sends to a few, and these pass it on. One that is not reached learns
/// it with its next sync.
void Node::PassOn(const std::string& leader, const std::string& body,
                  const std::string& sender) {
  std::vector<std::string> names;
  for (const auto& [name, record] : this->readers.Instances())
    names.push_back(name);
  const Instant now = kernel::Now();
  for (const auto& name :
       FanOutTree(std::move(names), leader).Children(sender)) {
    if (name == this->self.name) continue;
    const auto unreachable = this->unreachable_until.find(name);
    if (unreachable != this->unreachable_until.end() &&
        now < unreachable->second) {
      this->PassOn(leader, body, name);
      continue;
    }
    const auto& address = this->readers.Instances().at(name).peer_address;
    this->PostToPeer(
        address, kOwnersPath, body,
        [this, leader, body, name](const net::TransferResult& result) {
          if (result.end == net::TransferEnd::kComplete) return;
          this->unreachable_until[name] = kernel::Now() + kUnreachableTime;
          this->PassOn(leader, body, name);
        });
  }
}

void Node::OnChangedOwners(const std::string& body) {
  const auto change = ranges::DecodeDelta(body);
  if (!change) {
    observe::LogWarn("owners_malformed", {{"why", change.error().detail}});
    return;
  }
  const ViewVersion version(change.value().term, change.value().sequence);
  ViewVersion& passed_on = this->passed_on[change.value().service];
  if (version > passed_on) {
    passed_on = version;
    this->PassOn(change.value().leader, body, this->self.name);
  }
  const auto service = this->key_services.find(change.value().service);
  if (service == this->key_services.end()) return;
  if (service->second->OnDelta(change.value())) return;
  this->lacks_changes.insert(change.value().service);
  const auto leader = this->readers.Instances().find(change.value().leader);
  if (leader != this->readers.Instances().end()) {
    this->SendSync(leader->second.peer_address);
  }
}

}  // namespace chervilmux::node
