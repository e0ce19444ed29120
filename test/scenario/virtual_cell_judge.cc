// Implements the checks of VirtualCell, its measurements and the report of its
// state.

#include <algorithm>
#include <utility>

#include "virtual_cell.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;

constexpr std::size_t kMaxViolations = 20;

std::string VersionText(ownership::RowVersion version) {
  return std::to_string(version.term) + "." + std::to_string(version.sequence);
}

}  // namespace

void VirtualCell::RecordViolation(const std::string& description) {
  if (this->violations.size() >= kMaxViolations) return;
  this->violations.push_back(
      "at " + std::to_string(kernel::ToMs(this->now.time_since_epoch())) +
      " ms: " + description);
}

void VirtualCell::RecordRow(const ownership::CellRow& row) {
  const auto [known, added] = this->rows.emplace(row.version, row);
  if (added) {
    this->placements.emplace(row.version, ownership::Placement(row));
    return;
  }
  if (!known->second.HasSameOwners(row)) {
    this->RecordViolation("two rows with version " + VersionText(row.version) +
                          " name different owners");
  }
}

const ownership::Placement* VirtualCell::PlacementOf(
    ownership::RowVersion version) const {
  const auto found = this->placements.find(version);
  return found == this->placements.end() ? nullptr : &found->second;
}

void VirtualCell::CheckGrants() {
  for (std::size_t k = 0; k < this->keys.size(); ++k) {
    std::string holder;
    for (const auto& server : this->servers) {
      if (!server.alive) continue;
      const bool live =
          server.grants->DeadlineOf("cell") > this->ServerClockUs(server);
      if (!live) continue;
      const auto* newest = this->PlacementOf(server.version);
      const auto* serving = this->PlacementOf(server.serving);
      if (newest == nullptr || serving == nullptr) continue;
      const bool owns = newest->OwnerOf(this->keys[k]) == server.name &&
                        serving->OwnerOf(this->keys[k]) == server.name;
      if (!owns) continue;
      if (!holder.empty()) {
        this->RecordViolation("key " + std::to_string(k) + " is granted to " +
                              holder + " and " + server.name + " under " +
                              VersionText(server.serving));
      }
      holder = server.name;
    }
  }
}

void VirtualCell::ExecuteRequest(std::size_t key, std::size_t server,
                                 ownership::RowVersion version) {
  const Server& holder = this->servers[server];
  if (this->config.servers_check_tokens) {
    // The server's own grant must cover the key now.
    const auto* newest = this->PlacementOf(holder.version);
    const auto* serving = this->PlacementOf(holder.serving);
    const bool owns = newest->OwnerOf(this->keys[key]) == holder.name &&
                      serving->OwnerOf(this->keys[key]) == holder.name;
    if (!owns) {
      this->RecordViolation("key " + std::to_string(key) + " ran at " +
                            holder.name + ", which holds no grant for it");
    }
  }
  const auto found = this->last_execution.find(key);
  if (found != this->last_execution.end()) {
    const Execution& last = found->second;
    if (last.server != server && version < last.version) {
      this->RecordViolation("key " + std::to_string(key) + " ran at " +
                            this->servers[server].name + " under " +
                            VersionText(version) + " after it ran at " +
                            this->servers[last.server].name + " under " +
                            VersionText(last.version));
    }
    if (version < last.version) return;
  }
  this->last_execution[key] = {server, version};
}

void VirtualCell::MeasureGaps() {
  for (std::size_t k = 0; k < this->keys.size(); ++k) {
    if (this->ServingOwner(k)) this->served_at[k] = this->now;
    this->longest_gap[k] = std::max(this->longest_gap[k],
                                    Duration(this->now - this->served_at[k]));
  }
}

void VirtualCell::CheckInvariants() {
  this->CheckGrants();
  this->MeasureGaps();
}

std::optional<std::size_t> VirtualCell::Leader() const {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Instance& instance = this->instances[i];
    if (!instance.alive || instance.paused) continue;
    const auto& machine = *instance.machine;
    if (machine.CurrentRole() != ownership::CellMachine::Role::kPrimary) {
      continue;
    }
    const bool higher =
        !leader || this->instances[*leader].machine->NewestRow().version <
                       machine.NewestRow().version;
    if (higher) leader = i;
  }
  return leader;
}

std::optional<std::size_t> VirtualCell::ServingOwner(std::size_t key) const {
  for (const auto& instance : this->instances) {
    if (!instance.alive || instance.paused) continue;
    const auto& machine = *instance.machine;
    if (machine.CurrentRole() != ownership::CellMachine::Role::kPrimary) {
      continue;
    }
    const auto* serving = this->PlacementOf(machine.ServingRow().version);
    const auto* newest = this->PlacementOf(machine.NewestRow().version);
    if (serving == nullptr || newest == nullptr) continue;
    const std::string_view owner = serving->OwnerOf(this->keys[key]);
    if (owner.empty() || newest->OwnerOf(this->keys[key]) != owner) continue;
    if (machine.MaySendUntil(owner) <= this->LocalTime(instance)) continue;
    const auto found = std::ranges::find(this->servers, owner, &Server::name);
    if (!found->alive || found->paused) continue;
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
    const Instant local = this->LocalTime(instance);
    static constexpr const char* kRoles[] = {"none", "standby", "leader"};
    text +=
        instance.id.name + "/" + std::to_string(instance.id.incarnation) +
        (instance.alive ? "" : " down") + (instance.paused ? " paused" : "") +
        (instance.stopping ? " stopping " : " ") +
        kRoles[static_cast<std::size_t>(machine.CurrentRole())] + " serving " +
        VersionText(machine.ServingRow().version) + " newest " +
        ownership::EncodeRow(machine.NewestRow()) + " authority for ms " +
        std::to_string(machine.AuthorityUntil() == kernel::kNever
                           ? -1
                           : kernel::ToMs(machine.AuthorityUntil() - local)) +
        "\n";
    for (const auto& server : this->servers) {
      const Instant until = machine.MaySendUntil(server.name);
      if (until == kernel::kNever) continue;
      text += "    may send to " + server.name + " for ms " +
              std::to_string(kernel::ToMs(until - local)) + "\n";
    }
  }
  for (const auto& server : this->servers) {
    text +=
        server.name + (server.alive ? "" : " down") +
        (server.paused ? " paused" : "") + (server.leaving ? " leaving" : "") +
        " accepted " + VersionText(server.version) + " serving " +
        VersionText(server.serving) + " grant valid for ms " +
        std::to_string(
            (server.grants->DeadlineOf("cell") - this->ServerClockUs(server)) /
            1000) +
        "\n";
  }
  return text + "store revision " + std::to_string(this->stored.revision) +
         " " + this->stored.text + "\n";
}

ownership::RowVersion VirtualCell::StoredVersion() const {
  if (this->stored.revision == 0) return {};
  return ownership::DecodeRow(this->stored.text).value().version;
}

}  // namespace chervilmux::scenario
