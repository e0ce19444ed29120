// cell-slopes: measures what cells cost an instance, as JSON: memory and time
// of the routing table against cells and overrides, time of a lookup, bytes and
// time of a heartbeat, a ping, a grant and a manifest.
//
// Usage: cell-slopes

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "backend/server_protocol.h"
#include "config/manifest_keeper.h"
#include "membership/heartbeat.h"
#include "ownership/cell_machine.h"
#include "ownership/placement.h"

namespace chervilmux::performance {
namespace {

using Clock = std::chrono::steady_clock;

bool first_line = true;

/// One measured point: `value` of `what` at size `x`.
void Emit(const std::string& what, double x, double value, const char* unit) {
  std::printf(
      "%s  {\"what\": \"%s\", \"x\": %g, \"value\": %.6g, "
      "\"unit\": \"%s\"}",
      first_line ? "" : ",\n", what.c_str(), x, value, unit);
  first_line = false;
}

double MicrosEach(std::size_t times, const std::function<void()>& action) {
  action();
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < times; ++i) action();
  const std::chrono::duration<double, std::micro> took = Clock::now() - begin;
  return took.count() / static_cast<double>(times);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

ownership::CellRow MakeRow(std::size_t servers, std::size_t overrides) {
  ownership::CellRow row;
  row.version = {65536, 7};
  row.primary = {"entry-kolin-1", 1'700'000'000'000'000};
  row.standby = {"entry-kolin-2", 1'700'000'000'000'000};
  for (std::size_t i = 0; i < servers; ++i) {
    row.servers.push_back({"rozpis-" + std::to_string(100'000 + i),
                           ownership::ServerState::kIn, 1.0});
  }
  for (std::size_t i = 0; i < overrides; ++i) {
    row.overrides[i * 0x9e3779b97f4a7c15ULL] = "rozpis-100000";
  }
  return row;
}

void MeasureCells() {
  for (const std::size_t cells : {10U, 100U, 1000U, 10'000U}) {
    const double before = HeapBytes();
    std::vector<std::unique_ptr<ownership::CellMachine>> machines;
    std::vector<ownership::Placement> placements;
    for (std::size_t i = 0; i < cells; ++i) {
      machines.push_back(std::make_unique<ownership::CellMachine>(
          ownership::InstanceId{"entry", 1}, ownership::CellTiming()));
      ownership::PeerMessage message;
      message.from = {"other", 1};
      message.row = MakeRow(8, 0);
      message.version = message.row->version;
      message.row->standby = {"entry", 1};
      ownership::Actions actions;
      machines.back()->OnPeerMessage(
          message, kernel::Instant(kernel::seconds(1)), actions);
      placements.emplace_back(*message.row);
    }
    Emit("heap_of_cells", static_cast<double>(cells), HeapBytes() - before,
         "bytes");
    ownership::Actions actions;
    const double micros = MicrosEach(20, [&] {
      for (auto& machine : machines) {
        machine->OnTick(kernel::Instant(kernel::milliseconds(1100)), actions);
      }
    });
    Emit("tick_of_cells", static_cast<double>(cells), micros, "us");
  }
}

void MeasurePlacement() {
  for (const std::size_t servers : {2U, 6U, 13U, 16U, 100U, 1000U}) {
    const ownership::Placement placement(MakeRow(servers, 0));
    std::uint64_t hash = 1;
    std::size_t sum = 0;
    const double micros = MicrosEach(20'000, [&] {
      hash = hash * 6364136223846793005ULL + 1;
      sum += placement.OwnerOf(hash).size();
    });
    if (sum == 0) return;
    Emit("lookup_by_servers", static_cast<double>(servers), micros, "us");
  }
  for (const std::size_t overrides : {0U, 100U, 1700U, 17'000U}) {
    const double before = HeapBytes();
    const ownership::Placement placement(MakeRow(8, overrides));
    Emit("heap_of_overrides", static_cast<double>(overrides),
         HeapBytes() - before, "bytes");
    Emit(
        "row_bytes_by_overrides", static_cast<double>(overrides),
        static_cast<double>(ownership::EncodeRow(MakeRow(8, overrides)).size()),
        "bytes");
  }
}

void MeasureMessages() {
  for (const std::size_t leads : {0U, 1U, 10U, 100U}) {
    membership::Heartbeat beat;
    beat.from = {"entry-kolin-1", 1'700'000'000'000'000};
    beat.failure_domain = "kolin";
    beat.peer_address = {"10.20.30.40", 7001};
    beat.operator_address = {"10.20.30.40", 7002};
    beat.known_peers = {beat.peer_address, beat.peer_address};
    for (std::size_t i = 0; i < leads; ++i) {
      beat.leads.push_back({"rozpis-" + std::to_string(i) + "@kolin", 65536});
    }
    const std::string bytes = membership::Encode(beat);
    Emit("heartbeat_bytes_by_leads", static_cast<double>(leads),
         static_cast<double>(bytes.size()), "bytes");
    Emit("heartbeat_time_by_leads", static_cast<double>(leads),
         MicrosEach(
             2000, [&] { (void)membership::Decode(membership::Encode(beat)); }),
         "us");
  }
  for (const std::size_t servers : {0U, 8U, 16U, 100U, 1000U}) {
    membership::CellDatagram datagram;
    datagram.cell = "rozpis@kolin";
    datagram.reply_to = {"10.20.30.40", 7001};
    datagram.message.from = {"entry-kolin-1", 1'700'000'000'000'000};
    if (servers > 0) datagram.message.row = MakeRow(servers, 0);
    Emit("ping_bytes_by_servers_told", static_cast<double>(servers),
         static_cast<double>(membership::Encode(datagram).size()), "bytes");
  }
  ownership::GrantOrder order;
  order.token = {65536, 123'456};
  order.version = {65536, 7};
  order.serving = order.version;
  order.deadline_us = 123'456'789'012;
  const auto request =
      backend::BuildGrant({"10.20.30.40", 7001}, "rozpis@kolin", order);
  Emit("grant_body_bytes", 1, static_cast<double>(request.body.size()),
       "bytes");
}

std::string MakeManifest(std::size_t servers) {
  std::string text = R"({"revision": 5, "services": [{"name": "rozpis", )"
                     R"("failure_domains": ["kolin"], "servers": [)";
  for (std::size_t i = 0; i < servers; ++i) {
    text += i == 0 ? "\n" : ",\n";
    text += R"({"name": "rozpis-)" + std::to_string(i) +
            R"(", "failure_domain": "kolin", "address": "10.20.30.40:7001", )"
            R"("slots": 6, "connections": 130})";
  }
  return text + "]}]}";
}

void MeasureManifest() {
  for (const std::size_t servers : {10U, 100U, 1000U, 15'000U}) {
    const std::string text = MakeManifest(servers);
    Emit("manifest_bytes_by_servers", static_cast<double>(servers),
         static_cast<double>(text.size()), "bytes");
    const double before = HeapBytes();
    config::ManifestKeeper keeper;
    const double micros = MicrosEach(1, [&] {
      keeper = config::ManifestKeeper();
      (void)keeper.Offer(text);
    });
    Emit("manifest_parse_by_servers", static_cast<double>(servers), micros,
         "us");
    Emit("manifest_heap_by_servers", static_cast<double>(servers),
         HeapBytes() - before, "bytes");
  }
}

}  // namespace
}  // namespace chervilmux::performance

int main() {
  std::printf("[\n");
  chervilmux::performance::MeasureCells();
  chervilmux::performance::MeasurePlacement();
  chervilmux::performance::MeasureMessages();
  chervilmux::performance::MeasureManifest();
  std::printf("\n]\n");
}
