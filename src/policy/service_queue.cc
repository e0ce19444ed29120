#include "policy/service_queue.h"

#include <utility>

namespace chervilmux::policy {

using kernel::Instant;

ServiceQueue::Rank ServiceQueue::RankOf(const Entry& entry) {
  return {entry.late, entry.request.priority, entry.request.in_time_until,
          entry.request.id};
}

ServiceQueue::Group* ServiceQueue::FindGroup(std::string_view owner) {
  const auto found = this->groups.find(owner);
  return found == this->groups.end() ? nullptr : &found->second;
}

const ServiceQueue::Group* ServiceQueue::FindGroup(
    std::string_view owner) const {
  const auto found = this->groups.find(owner);
  return found == this->groups.end() ? nullptr : &found->second;
}

void ServiceQueue::Insert(WaitingRequest request) {
  Group& group = this->groups[request.owner];
  group.count_by_priority[request.priority] += 1;
  group.by_give_up.insert({request.give_up_at, request.id});
  this->by_give_up.insert({request.give_up_at, request.id});
  const std::uint64_t id = request.id;
  Entry& entry = this->entries[id];
  entry = Entry{std::move(request)};
  if (entry.request.not_before == kernel::kNever) {
    this->MakeReady(entry);
  } else {
    entry.held = true;
    this->held.insert({entry.request.not_before, id});
  }
}

void ServiceQueue::MakeReady(Entry& entry) {
  entry.held = false;
  Group& group = this->groups[entry.request.owner];
  group.ready.insert(RankOf(entry));
  if (!entry.late)
    group.in_time.insert({entry.request.in_time_until, entry.request.id});
}

void ServiceQueue::Remove(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  const Entry& entry = found->second;
  const WaitingRequest& request = entry.request;
  const auto at = this->groups.find(request.owner);
  Group& group = at->second;
  group.ready.erase(RankOf(entry));
  group.in_time.erase({request.in_time_until, id});
  group.by_give_up.erase({request.give_up_at, id});
  this->by_give_up.erase({request.give_up_at, id});
  this->held.erase({request.not_before, id});
  const auto count = group.count_by_priority.find(request.priority);
  count->second -= 1;
  if (count->second == 0) group.count_by_priority.erase(count);
  if (group.by_give_up.empty()) this->groups.erase(at);
  this->entries.erase(found);
}

void ServiceQueue::Move(std::uint64_t id, std::string owner,
                        Instant not_before) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  WaitingRequest request = found->second.request;
  if (request.owner == owner && request.not_before == not_before) return;
  this->Remove(id);
  request.owner = std::move(owner);
  request.not_before = not_before;
  this->Insert(std::move(request));
}

/// Each request stops being held once and becomes late once, so that these
/// loops add no more than that to the work for each request.
void ServiceQueue::Advance(Group& group, Instant now) {
  while (!this->held.empty() && this->held.begin()->at <= now) {
    const std::uint64_t id = this->held.begin()->id;
    this->held.erase(this->held.begin());
    this->MakeReady(this->entries.at(id));
  }
  while (!group.in_time.empty() && group.in_time.begin()->at < now) {
    Entry& entry = this->entries.at(group.in_time.begin()->id);
    group.in_time.erase(group.in_time.begin());
    group.ready.erase(RankOf(entry));
    entry.late = true;
    group.ready.insert(RankOf(entry));
  }
}

std::optional<std::uint64_t> ServiceQueue::Next(std::string_view owner,
                                                Instant now) {
  Group* group = this->FindGroup(owner);
  if (group == nullptr) return std::nullopt;
  this->Advance(*group, now);
  if (group->ready.empty()) return std::nullopt;
  return group->ready.begin()->id;
}

std::optional<std::uint64_t> ServiceQueue::NextExpired(Instant now) const {
  if (this->by_give_up.empty() || this->by_give_up.begin()->at > now)
    return std::nullopt;
  return this->by_give_up.begin()->id;
}

std::optional<std::uint64_t> ServiceQueue::NextToGiveUp(std::string_view owner,
                                                        Instant end) const {
  const Group* group = this->FindGroup(owner);
  if (group == nullptr || group->by_give_up.begin()->at >= end)
    return std::nullopt;
  return group->by_give_up.begin()->id;
}

std::size_t ServiceQueue::Count(std::string_view owner) const {
  const Group* group = this->FindGroup(owner);
  return group == nullptr ? 0 : group->by_give_up.size();
}

std::size_t ServiceQueue::CountAhead(std::string_view owner,
                                     unsigned priority) const {
  const Group* group = this->FindGroup(owner);
  if (group == nullptr) return 0;
  std::size_t count = 0;
  for (const auto& [other_priority, requests] : group->count_by_priority) {
    if (other_priority <= priority) count += requests;
  }
  return count;
}

bool ServiceQueue::HasInTime(std::string_view owner, Instant now) {
  Group* group = this->FindGroup(owner);
  if (group == nullptr) return false;
  this->Advance(*group, now);
  return !group->in_time.empty();
}

std::vector<std::string> ServiceQueue::Owners() const {
  std::vector<std::string> owners;
  owners.reserve(this->groups.size());
  for (const auto& [owner, group] : this->groups) owners.push_back(owner);
  return owners;
}

std::vector<std::uint64_t> ServiceQueue::Ids() const {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->entries.size());
  for (const Timed& entry : this->by_give_up) ids.push_back(entry.id);
  return ids;
}

}  // namespace chervilmux::policy
