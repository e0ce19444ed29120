#include "node/store_readers.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// An instance whose knowledge is older follows the store itself. News must be
/// in force after 2 s; a reader's knowledge is up to 0.7 s old when it is
/// asked, and it is asked every 0.5 s.
constexpr Duration kOldKnowledge = milliseconds(1500);
/// From so many instances on they hear of leaders through readers: fewer load a
/// leader little, and hear of its loss sooner.
constexpr std::size_t kManyInstances = 40;
/// A peer that did not answer is passed over for this long.
constexpr Duration kSilentTime = milliseconds(3000);

}  // namespace

bool StoreReaders::OnHeardFrom(const InstanceRecord& peer) {
  const auto known = this->instances.find(peer.name);
  if (known != this->instances.end() && known->second.life >= peer.life)
    return false;
  this->instances.insert_or_assign(peer.name, peer);
  return true;
}

void StoreReaders::NoteKnownAsOf(Instant at) {
  this->known_as_of = std::max(this->known_as_of, at);
}

void StoreReaders::OnPeerSilent(const std::string& address, Instant now) {
  this->silent_until[address] = now + kSilentTime;
}

std::optional<Duration> StoreReaders::KnowledgeAge(Instant now) const {
  if (this->known_as_of == kernel::kNever) return std::nullopt;
  return now - this->known_as_of;
}

bool StoreReaders::IsSilent(const InstanceRecord& record, Instant now) const {
  const auto silent = this->silent_until.find(record.peer_address);
  return silent != this->silent_until.end() && now < silent->second;
}

bool StoreReaders::KnowledgeIsOld(Instant now) const {
  const auto age = this->KnowledgeAge(now);
  return !age || *age > kOldKnowledge;
}

/// A leader, else one of those with the most processor time, which a reader
/// needs for the others' questions; the first by name of equal ones.
bool StoreReaders::ReadsRather(const InstanceRecord& record,
                               const InstanceRecord& other) const {
  const bool leads = this->leaders.contains(record.name);
  if (leads != this->leaders.contains(other.name)) return leads;
  if (record.processor_share != other.processor_share)
    return record.processor_share > other.processor_share;
  return record.name < other.name;
}

const InstanceRecord* StoreReaders::ReaderOf(std::string_view failure_domain,
                                             Instant now) const {
  const InstanceRecord* reader = nullptr;
  for (const auto& [name, record] : this->instances) {
    if (record.failure_domain != failure_domain) continue;
    if (this->IsSilent(record, now)) continue;
    if (reader == nullptr || this->ReadsRather(record, *reader))
      reader = &record;
  }
  return reader;
}

std::string StoreReaders::LeaderSource(Instant now) const {
  if (this->instances.size() < kManyInstances) return {};
  const auto* reader = this->ReaderOf(this->self.failure_domain, now);
  const bool asks = reader != nullptr && reader->name != this->self.name;
  return asks ? reader->peer_address : std::string();
}

bool StoreReaders::Follows(Instant now) const {
  if (this->KnowledgeIsOld(now)) return true;
  const auto* reader = this->ReaderOf(this->self.failure_domain, now);
  if (reader != nullptr) return reader->name == this->self.name;
  // Nobody is known yet, as when all instances start together: the others ask
  // the seeds.
  return std::ranges::find(this->seeds, this->self.peer_address) !=
         this->seeds.end();
}

std::vector<std::string> StoreReaders::Sources(Instant now,
                                               std::uint64_t random) const {
  std::vector<std::string> sources;
  const auto* own = this->ReaderOf(this->self.failure_domain, now);
  if (own != nullptr && own->name != this->self.name) {
    sources.push_back(own->peer_address);
  } else {
    // A reader asks the reader of another failure domain.
    std::set<std::string> domains;
    for (const auto& [name, record] : this->instances) {
      domains.insert(record.failure_domain);
    }
    domains.erase(this->self.failure_domain);
    if (!domains.empty()) {
      const auto pick = static_cast<std::ptrdiff_t>(random % domains.size());
      const auto* other =
          this->ReaderOf(*std::next(domains.begin(), pick), now);
      if (other != nullptr) sources.push_back(other->peer_address);
    }
  }
  if (!this->KnowledgeIsOld(now)) return sources;
  // Nobody asked so far knows anything new: ask anybody.
  if (auto address = this->AnyPeer(random / 7))
    sources.push_back(std::move(*address));
  return sources;
}

/// The seeds count like instances: those that are known may all be as far
/// behind, and many instances together must not press on the few seeds.
std::optional<std::string> StoreReaders::AnyPeer(std::uint64_t random) const {
  const auto self_at = this->instances.find(this->self.name);
  const std::size_t others =
      this->instances.size() - (self_at == this->instances.end() ? 0 : 1);
  const std::size_t peers = this->seeds.size() + others;
  if (peers == 0) return std::nullopt;
  std::size_t pick = random % peers;
  if (pick < this->seeds.size()) return this->seeds[pick];
  pick -= this->seeds.size();
  for (auto at = this->instances.begin();; ++at) {
    if (at == self_at) continue;
    if (pick == 0) return at->second.peer_address;
    pick -= 1;
  }
}

}  // namespace chervilmux::node
