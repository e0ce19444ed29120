#include "membership/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ownership/placement.h"

namespace chervilmux::membership {

using kernel::Instant;
using ownership::InstanceId;

PeerTable::PeerTable(InstanceId self, std::string failure_domain,
                     kernel::Duration suspect_after)
    : self(std::move(self)),
      failure_domain(std::move(failure_domain)),
      suspect_after(suspect_after) {}

void PeerTable::OnHeartbeat(const Heartbeat& heartbeat, Instant now) {
  if (heartbeat.from.name == this->self.name) return;
  Peer& peer = this->peers[heartbeat.from.name];
  // A heartbeat of an earlier incarnation may arrive late.
  if (heartbeat.from.incarnation < peer.id.incarnation) return;
  const bool new_incarnation = heartbeat.from.incarnation > peer.id.incarnation;
  if (new_incarnation) peer.leaving = false;
  peer.id = heartbeat.from;
  peer.failure_domain = heartbeat.failure_domain;
  peer.peer_address = heartbeat.peer_address;
  peer.operator_address = heartbeat.operator_address;
  peer.manifest_revision = heartbeat.manifest_revision;
  peer.last_contact = now;
  if (heartbeat.stopping) peer.leaving = true;
  for (const auto& led_cell : heartbeat.leads) {
    CellLeader& leader = this->leader_by_cell[led_cell.cell];
    if (led_cell.term < leader.term) continue;
    leader = {heartbeat.from, heartbeat.peer_address, led_cell.term, now};
  }
}

void PeerTable::MarkGone(const std::string& name, std::uint64_t incarnation,
                         Instant now) {
  ownership::GoneInstance& entry = this->gone[name];
  const bool already_recorded =
      entry.name == name && entry.incarnation >= incarnation;
  if (already_recorded) return;
  entry = {name, incarnation, now};
}

void PeerTable::OnListedInstance(const store::ListedInstance& listed,
                                 Instant now) {
  if (listed.name == this->self.name) {
    this->self_leaving = listed.state == store::ListedState::kLeaving;
    return;
  }
  if (listed.state == store::ListedState::kGone) {
    this->MarkGone(listed.name, listed.incarnation, now);
    return;
  }
  // The platform lists a newer incarnation only after the earlier ones have
  // ended.
  if (listed.incarnation > 0) {
    this->MarkGone(listed.name, listed.incarnation - 1, now);
  }
  Peer& peer = this->peers[listed.name];
  peer.listed = true;
  if (listed.incarnation < peer.id.incarnation) return;
  if (listed.incarnation > peer.id.incarnation) peer = Peer();
  peer.listed = true;
  peer.id = {listed.name, listed.incarnation};
  peer.failure_domain = listed.failure_domain;
  peer.peer_address = listed.peer_address;
  peer.operator_address = listed.operator_address;
  if (listed.state == store::ListedState::kLeaving) peer.leaving = true;
}

void PeerTable::OnInstanceList(const store::InstanceList& list, Instant now) {
  if (!list.usable) return;
  std::set<std::string_view> present_names;
  for (const auto& listed : list.instances) {
    present_names.insert(listed.name);
    this->OnListedInstance(listed, now);
  }
  for (auto& [name, peer] : this->peers) {
    if (present_names.contains(name)) continue;
    if (peer.listed) this->MarkGone(name, peer.id.incarnation, now);
    peer.listed = false;
  }
}

bool PeerTable::IsLive(const Peer& peer, Instant now) const {
  return now < peer.last_contact + this->suspect_after;
}

ownership::Membership PeerTable::MembershipForCell(std::string_view cell,
                                                   Instant now) const {
  ownership::Membership result;
  // Candidates are ordered by a hash of cell and name: all instances get the
  // same order, and different cells prefer different instances.
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked_candidates;
  const auto rank = [&](const InstanceId& id) {
    return ownership::HashKey(std::string(cell) + "/" + id.name);
  };
  if (!this->self_leaving)
    ranked_candidates.emplace_back(rank(this->self), this->self);
  for (const auto& [name, peer] : this->peers) {
    if (peer.leaving) {
      result.leaving.push_back(peer.id);
      continue;
    }
    if (peer.failure_domain != this->failure_domain) continue;
    if (this->IsLive(peer, now))
      ranked_candidates.emplace_back(rank(peer.id), peer.id);
  }
  std::ranges::sort(ranked_candidates);
  for (auto& [score, id] : ranked_candidates)
    result.candidates.push_back(std::move(id));
  for (const auto& [name, entry] : this->gone) result.gone.push_back(entry);
  return result;
}

std::optional<CellLeader> PeerTable::FindLeader(std::string_view cell,
                                                Instant now) const {
  const auto found = this->leader_by_cell.find(cell);
  if (found == this->leader_by_cell.end()) return std::nullopt;
  if (now >= found->second.last_contact + this->suspect_after)
    return std::nullopt;
  return found->second;
}

void PeerTable::RemoveLeader(std::string_view cell, const InstanceId& id) {
  const auto found = this->leader_by_cell.find(cell);
  if (found == this->leader_by_cell.end() || found->second.id != id) return;
  this->leader_by_cell.erase(found);
}

bool PeerTable::IsStoreReader(std::size_t readers, Instant now) const {
  std::size_t preceding = 0;
  for (const auto& [name, peer] : this->peers) {
    if (peer.failure_domain != this->failure_domain || peer.leaving) continue;
    if (this->IsLive(peer, now) && name < this->self.name) preceding += 1;
  }
  return preceding < readers;
}

std::vector<net::Address> PeerTable::NextKnownPeers(std::size_t count) {
  std::vector<net::Address> all;
  for (const auto& [name, peer] : this->peers) {
    if (!peer.peer_address.Empty()) all.push_back(peer.peer_address);
  }
  std::vector<net::Address> chosen_addresses;
  for (std::size_t i = 0; i < std::min(count, all.size()); ++i) {
    chosen_addresses.push_back(all[this->next_known_peer++ % all.size()]);
  }
  return chosen_addresses;
}

std::vector<net::Address> PeerTable::NextHeartbeatTargets(std::size_t count) {
  std::vector<net::Address> all;
  for (const auto& [name, peer] : this->peers) {
    if (!peer.peer_address.Empty()) all.push_back(peer.peer_address);
  }
  if (all.size() <= count) return all;
  std::vector<net::Address> targets;
  for (std::size_t i = 0; i < count; ++i) {
    targets.push_back(all[(this->next_target + i) % all.size()]);
  }
  this->next_target = (this->next_target + count) % all.size();
  return targets;
}

const Peer* PeerTable::PeerWithNewerManifest(std::uint64_t revision,
                                             Instant now) const {
  const Peer* best = nullptr;
  for (const auto& [name, peer] : this->peers) {
    if (peer.manifest_revision <= revision || !this->IsLive(peer, now))
      continue;
    if (best == nullptr || peer.manifest_revision > best->manifest_revision) {
      best = &peer;
    }
  }
  return best;
}

bool PeerTable::HasPeerAddress(const net::Address& address) const {
  return std::ranges::any_of(this->peers, [&](const auto& entry) {
    return entry.second.peer_address == address;
  });
}

net::Address PeerTable::FindPeerAddress(std::string_view name) const {
  const auto found = this->peers.find(name);
  return found == this->peers.end() ? net::Address{}
                                    : found->second.peer_address;
}

}  // namespace chervilmux::membership
