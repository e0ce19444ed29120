// The part of VirtualCell that judges the history and reports the state.

#include <algorithm>
#include <utility>

#include "virtual_cell.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;

constexpr std::size_t kMaxViolations = 20;

std::string Text(ownership::RowVersion version) {
  return std::to_string(version.term) + "." + std::to_string(version.sequence);
}

}  // namespace

void VirtualCell::Violate(const std::string& what) {
  if (this->violations.size() >= kMaxViolations) return;
  this->violations.push_back(
      "at " + std::to_string(kernel::ToMs(this->now.time_since_epoch())) +
      " ms: " + what);
}

void VirtualCell::NoteRow(const ownership::CellRow& row) {
  const auto [known, added] = this->rows.emplace(row.version, row);
  if (added) {
    this->placements.emplace(row.version, ownership::Placement(row));
    return;
  }
  if (!known->second.SameOwners(row)) {
    this->Violate("two rows of version " + Text(row.version) +
                  " name different owners");
  }
}

const ownership::Placement* VirtualCell::PlacementOf(
    ownership::RowVersion version) const {
  const auto found = this->placements.find(version);
  return found == this->placements.end() ? nullptr : &found->second;
}

void VirtualCell::JudgeGrants() {
  for (std::size_t k = 0; k < this->keys.size(); ++k) {
    std::string holder;
    for (const auto& server : this->servers) {
      if (!server.alive) continue;
      const bool live =
          server.keeper->DeadlineOf("cell") > this->ServerClock(server);
      if (!live) continue;
      const auto* newest = this->PlacementOf(server.version);
      const auto* serving = this->PlacementOf(server.serving);
      if (newest == nullptr || serving == nullptr) continue;
      const bool owns = newest->OwnerOf(this->keys[k]) == server.name &&
                        serving->OwnerOf(this->keys[k]) == server.name;
      if (!owns) continue;
      if (!holder.empty()) {
        this->Violate("key " + std::to_string(k) + " is granted to " + holder +
                      " and " + server.name + " under " + Text(server.serving));
      }
      holder = server.name;
    }
  }
}

void VirtualCell::Execute(std::size_t key, std::size_t server,
                          ownership::RowVersion version) {
  const Server& holder = this->servers[server];
  if (this->config.servers_check_tokens) {
    // The server must hold the key by its own grant at this very moment.
    const auto* newest = this->PlacementOf(holder.version);
    const auto* serving = this->PlacementOf(holder.serving);
    const bool owns = newest->OwnerOf(this->keys[key]) == holder.name &&
                      serving->OwnerOf(this->keys[key]) == holder.name;
    if (!owns) {
      this->Violate("key " + std::to_string(key) + " ran at " + holder.name +
                    ", which holds no grant for it");
    }
  }
  const auto found = this->last_execution.find(key);
  if (found != this->last_execution.end()) {
    const Execution& last = found->second;
    if (last.server != server && version < last.version) {
      this->Violate("key " + std::to_string(key) + " ran at " +
                    this->servers[server].name + " under " + Text(version) +
                    " after it ran at " + this->servers[last.server].name +
                    " under " + Text(last.version));
    }
    if (version < last.version) return;
  }
  this->last_execution[key] = {server, version};
}

void VirtualCell::JudgeGaps() {
  for (std::size_t k = 0; k < this->keys.size(); ++k) {
    if (this->ServingOwner(k)) this->served_at[k] = this->now;
    this->longest_gap[k] = std::max(this->longest_gap[k],
                                    Duration(this->now - this->served_at[k]));
  }
}

void VirtualCell::Judge() {
  this->JudgeGrants();
  this->JudgeGaps();
}

std::optional<std::size_t> VirtualCell::Leader() const {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Instance& instance = this->instances[i];
    if (!instance.alive || instance.paused) continue;
    const auto& machine = *instance.machine;
    if (machine.CurrentRole() != ownership::CellMachine::Role::kLeader) {
      continue;
    }
    const bool higher =
        !leader || this->instances[*leader].machine->Newest().version <
                       machine.Newest().version;
    if (higher) leader = i;
  }
  return leader;
}

std::optional<std::size_t> VirtualCell::ServingOwner(std::size_t key) const {
  for (const auto& instance : this->instances) {
    if (!instance.alive || instance.paused) continue;
    const auto& machine = *instance.machine;
    if (machine.CurrentRole() != ownership::CellMachine::Role::kLeader) {
      continue;
    }
    const auto* serving = this->PlacementOf(machine.Serving().version);
    const auto* newest = this->PlacementOf(machine.Newest().version);
    if (serving == nullptr || newest == nullptr) continue;
    const std::string_view owner = serving->OwnerOf(this->keys[key]);
    if (owner.empty() || newest->OwnerOf(this->keys[key]) != owner) continue;
    if (machine.SendUntil(owner) <= this->Local(instance)) continue;
    const auto found = std::ranges::find(this->servers, owner, &Server::name);
    if (!found->alive || found->frozen) continue;
    return static_cast<std::size_t>(found - this->servers.begin());
  }
  return std::nullopt;
}

std::size_t VirtualCell::ServedKeys() const {
  std::size_t served = 0;
  for (std::size_t k = 0; k < this->keys.size(); ++k) {
    if (this->ServingOwner(k)) served += 1;
  }
  return served;
}

std::vector<Duration> VirtualCell::LongestGaps() const {
  return this->longest_gap;
}

void VirtualCell::ResetGaps() {
  this->served_at.assign(this->keys.size(), this->now);
  this->longest_gap.assign(this->keys.size(), Duration(0));
}

ownership::CellCounters VirtualCell::Counters() const {
  ownership::CellCounters sum = this->retired_counters;
  for (const auto& instance : this->instances) {
    if (instance.alive)
      ownership::AddCounters(sum, instance.machine->Counters());
  }
  return sum;
}

std::string VirtualCell::Describe() const {
  std::string text;
  for (const auto& instance : this->instances) {
    const auto& machine = *instance.machine;
    const Instant local = this->Local(instance);
    static constexpr const char* kRoles[] = {"none", "standby", "leader"};
    text += instance.id.name + "/" + std::to_string(instance.id.incarnation) +
            (instance.alive ? "" : " dead") +
            (instance.paused ? " paused" : "") +
            (instance.stopping ? " stopping " : " ") +
            kRoles[static_cast<std::size_t>(machine.CurrentRole())] +
            " serving " + Text(machine.Serving().version) + " newest " +
            ownership::EncodeRow(machine.Newest()) + " right for ms " +
            std::to_string(machine.RightUntil() == kernel::kNever
                               ? -1
                               : kernel::ToMs(machine.RightUntil() - local)) +
            "\n";
    for (const auto& server : this->servers) {
      const Instant until = machine.SendUntil(server.name);
      if (until == kernel::kNever) continue;
      text += "    may send to " + server.name + " for ms " +
              std::to_string(kernel::ToMs(until - local)) + "\n";
    }
  }
  for (const auto& server : this->servers) {
    text +=
        server.name + (server.alive ? "" : " dead") +
        (server.frozen ? " frozen" : "") + (server.leaving ? " leaving" : "") +
        " told " + Text(server.version) + " serving " + Text(server.serving) +
        " live for ms " +
        std::to_string(
            (server.keeper->DeadlineOf("cell") - this->ServerClock(server)) /
            1000) +
        "\n";
  }
  return text + "store " + std::to_string(this->stored.revision) + " " +
         this->stored.text + "\n";
}

ownership::RowVersion VirtualCell::StoredVersion() const {
  if (this->stored.revision == 0) return {};
  return ownership::DecodeRow(this->stored.text).value().version;
}

}  // namespace chervilmux::scenario
