#include "range_simulation.h"

#include <algorithm>
#include <utility>

#include "range_simulation_impl.h"

namespace chervilmux::scenario {

using kernel::Duration;
using ranges::Key;

RangeSimulation::RangeSimulation(const RangeSimulationOptions& options)
    : impl(std::make_unique<Impl>(options)) {}
RangeSimulation::~RangeSimulation() = default;

RangeSimulationResult RangeSimulation::Run() { return this->impl->Run(); }
void RangeSimulation::At(Duration at, std::function<void()> action) {
  this->impl->Schedule(at, std::move(action));
}
void RangeSimulation::CutServer(unsigned instance, unsigned server,
                                Duration length) {
  this->impl->CutServer(instance, server, length);
}
void RangeSimulation::CutStore(unsigned instance, Duration length) {
  this->impl->CutStore(instance, length);
}
void RangeSimulation::StopStore(Duration length) {
  this->impl->store_down_until = this->impl->now + length;
}
void RangeSimulation::KillInstance(unsigned instance, Duration down) {
  this->impl->KillInstance(instance, down);
}
void RangeSimulation::FreezeInstance(unsigned instance, Duration length) {
  this->impl->instances[instance].frozen_until = this->impl->now + length;
}
void RangeSimulation::CrashServer(unsigned server, Duration down) {
  this->impl->CrashServer(server, down);
}
void RangeSimulation::DrainServer(unsigned server) {
  this->impl->servers[server].draining = true;
  this->impl->TellAllServers();
}
void RangeSimulation::UnlistServer(unsigned server) {
  this->impl->servers[server].listed = false;
  this->impl->TellAllServers();
}
void RangeSimulation::LateOrders(Duration length) {
  this->impl->late_until = this->impl->now + length;
}
void RangeSimulation::HeatKeys(Key first, Key last, double per_second) {
  this->impl->heat.clear();
  const std::uint32_t begin = first / ranges::kKeysPerBucket;
  const std::uint32_t end = last / ranges::kKeysPerBucket;
  const double ticks = kernel::ToSeconds(world::kTick);
  const double each = per_second * ticks / (end - begin + 1);
  for (std::uint32_t bucket = begin; bucket <= end; ++bucket) {
    this->impl->heat.push_back(
        {static_cast<std::uint16_t>(bucket),
         static_cast<std::uint32_t>(std::max(1.0, each))});
  }
}
std::optional<unsigned> RangeSimulation::Leader() const {
  return this->impl->Leader();
}
std::uint32_t RangeSimulation::OwnedKeys() const {
  std::uint32_t owned = 0;
  for (const auto& server : this->impl->servers) {
    owned += this->impl->KeysOf(server);
  }
  return owned;
}
std::uint32_t RangeSimulation::KeysOf(unsigned server) const {
  return this->impl->KeysOf(this->impl->servers[server]);
}

}  // namespace chervilmux::scenario
