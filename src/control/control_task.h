/// \file
/// Defines the control task: it owns the sockets of ownership, membership and
/// configuration and feeds their decision logic.
///
/// It runs on a thread of its own, so that a busy data path cannot delay a
/// renewal. Everything the data path needs reaches it as routing::RoutingView.

#ifndef CHERVILMUX_CONTROL_CONTROL_TASK_H_
#define CHERVILMUX_CONTROL_CONTROL_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/manifest_keeper.h"
#include "kernel/registry.h"
#include "kernel/task.h"
#include "membership/peer_table.h"
#include "net/datagram.h"
#include "net/http_client.h"
#include "observe/metrics.h"
#include "ownership/cell_machine.h"
#include "ownership/cell_timing.h"
#include "routing/routing_view.h"
#include "store/platform.h"

namespace chervilmux::control {

struct ControlSettings {
  ownership::InstanceId self;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  std::vector<net::Address> seeds;  ///< Peer addresses to try at the start.
  ownership::CellTiming timing;
};

/// One cell as `status` shows it.
struct CellStatus {
  std::string cell;
  std::string role;
  ownership::CellRow row;
  ownership::RowVersion serving_version;
  bool moving = false;
};

struct ControlStatus {
  std::uint64_t manifest_revision = 0;
  std::vector<CellStatus> cells;
  std::vector<membership::Peer> peers;
};

class ControlTask : public kernel::ReactorTask {
 public:
  static constexpr std::string_view kServiceName = "control";

  ControlTask(const kernel::Registry& registry, ControlSettings settings);
  ~ControlTask() override;

  /// Opens the UDP socket and schedules the periodic work. Call before Start().
  kernel::Result<void> Open();

  /// The platform adapter works on this task's reactor, so it is made after
  /// the task and handed in before Start().
  void SetPlatform(store::Platform& platform) { this->platform = &platform; }

  void SetRoutingViewHandler(
      std::function<void(std::shared_ptr<const routing::RoutingView>)> sink) {
    this->view_sink = std::move(sink);
  }

  // --- Messages; safe from any thread.
  void RecordMovingRequests(std::string cell, ownership::RowVersion version,
                            std::string server, std::size_t count);
  void RequestStatus(std::function<void(ControlStatus)> done);
  /// Calls `done` with the text of the manifest in force.
  void RequestManifest(std::function<void(std::string)> done);
  /// Hands all cells over; calls `done` once this instance leads none, or when
  /// no other instance is left to lead them by `give_up_at`.
  void BeginStop(kernel::Instant give_up_at, std::function<void()> done);

 private:
  struct Cell {
    Cell(const ownership::InstanceId& self, const ownership::CellTiming& timing)
        : machine(self, timing) {}
    std::string service;
    ownership::CellMachine machine;
    ownership::RowVersion placed_serving;
    ownership::RowVersion placed_next;
    std::shared_ptr<const ownership::Placement> serving;
    std::shared_ptr<const ownership::Placement> next;
    ownership::CellMachine::Role last_role =
        ownership::CellMachine::Role::kNone;
    bool was_in_pair = false;
  };

  void Tick();
  void ReadListSoon();
  void ReadManifestSoon();
  void SendHeartbeats();
  void ConsiderStop(kernel::Instant now);

  // Peers.
  void OnDatagram(std::string_view bytes);
  void Meet(std::span<const net::Address> known_peers);
  void PullManifest();
  membership::Heartbeat MakeHeartbeat();

  // Manifest.
  void OfferManifest(std::string_view text, std::string_view source);
  void FollowManifest();
  void UpdateDesired(const std::string& name, Cell& cell);

  // Cells.
  void Perform(const std::string& name, Cell& cell,
               const ownership::Actions& actions);
  void Do(const std::string& name, const ownership::ReadRow& action);
  void Do(const std::string& name, const ownership::WriteRow& action);
  void Do(const std::string& name, const ownership::SendPeerMessage& action);
  void Do(const std::string& name, const ownership::SendGrantOrder& action);
  void OnTableReply(const std::string& name, std::uint64_t request,
                    const store::TableReply& reply);
  void OnGrantResult(const std::string& name, const std::string& server,
                     const ownership::GrantOrder& order,
                     kernel::Instant ordered_at,
                     const net::TransferResult& result);
  void NoteRole(const std::string& name, Cell& cell);

  // View and metrics.
  void PublishView();
  routing::LedCellView ViewOf(Cell& cell) const;
  void PublishMetrics();
  const config::BackendServer* ServerOf(const std::string& service,
                                        std::string_view server) const;

  ControlSettings settings;
  observe::Metrics& metrics;
  store::Platform* platform = nullptr;
  std::function<void(std::shared_ptr<const routing::RoutingView>)> view_sink;
  net::HttpClient http;
  net::Datagram datagrams;
  membership::PeerTable peers;
  config::ManifestKeeper manifest;
  std::map<std::string, Cell, std::less<>> cells;
  std::map<std::string, store::ListedState, std::less<>> listed_servers;
  std::uint64_t offered_row_revision = 0;
  bool list_read_open = false;
  bool manifest_read_open = false;
  bool pull_open = false;
  kernel::Instant last_heartbeat = kernel::kNever;
  bool heartbeat_now = false;
  bool stopping = false;
  kernel::Instant stop_give_up_at = kernel::kNever;
  std::function<void()> stop_done;
  std::uint64_t bytes_sent = 0;
};

}  // namespace chervilmux::control

#endif  // CHERVILMUX_CONTROL_CONTROL_TASK_H_
