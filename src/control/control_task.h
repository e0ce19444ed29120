/// \file
/// Defines the control task: it does the network I/O for ownership, membership
/// and configuration, and passes what it receives to their decision logic.
///
/// The task has its own thread, so that a busy data path cannot delay the
/// renewal of grants. The router task receives all data that it needs as a
/// routing::RoutingView.

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
#include "routing/view.h"
#include "store/platform.h"

namespace chervilmux::control {

struct ControlSettings {
  ownership::InstanceId self;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  /// Addresses of possible peers. Heartbeats go to them until they are in the
  /// peer table.
  std::vector<net::Address> seeds;
  ownership::CellTiming timing;
};

/// The state of one cell for the `status` operation of operators.
struct CellStatus {
  std::string cell;
  std::string role;
  ownership::CellRow row;
  /// Version of the row whose owners are in effect (CellMachine::ServingRow()).
  ownership::RowVersion serving_version;
  bool moving = false;  ///< A change of owners is in progress.
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

  /// Sets the platform adapter. The adapter uses this task's reactor, so it is
  /// created after the task. Call before Start().
  void SetPlatform(store::Platform& platform) { this->platform = &platform; }

  void SetRoutingViewHandler(
      std::function<void(std::shared_ptr<const routing::RoutingView>)>
          handler) {
    this->view_handler = std::move(handler);
  }

  // --- Messages; safe from any thread.
  /// Records the number of unfinished requests at `server` for keys that
  /// `server` loses under version `version` of the row of `cell`.
  void RecordMovingRequests(std::string cell, ownership::RowVersion version,
                            std::string server, std::size_t count);
  void RequestStatus(std::function<void(ControlStatus)> done);
  /// Calls `done` with the text of the manifest in force, or an empty text.
  void RequestManifest(std::function<void(std::string)> done);
  /// Starts to hand all cells over to other instances. Calls `done` once this
  /// instance leads no cell, or at `deadline` if it still leads one
  /// because no other instance has taken it over.
  void BeginStop(kernel::Instant deadline, std::function<void()> done);

 private:
  struct Cell {
    Cell(const ownership::InstanceId& self, const ownership::CellTiming& timing)
        : machine(self, timing) {}
    std::string service;
    ownership::CellMachine machine;
    // Placements (which server owns which key) for the routing view, and the
    // versions of the cell rows from which they were computed: `serving` for
    // the row in effect, `next` for the newest row while owners are changing.
    ownership::RowVersion serving_placement_version;
    ownership::RowVersion next_placement_version;
    std::shared_ptr<const ownership::Placement> serving;
    std::shared_ptr<const ownership::Placement> next;
    ownership::CellMachine::Role last_role =
        ownership::CellMachine::Role::kNone;
    bool was_primary_or_standby = false;
  };

  void Tick();
  void StartListRead();
  void StartManifestRead();
  void SendHeartbeats();
  void ReportStopIfDone(kernel::Instant now);

  // Messages between instances.
  void OnDatagram(std::string_view bytes);
  void AddSeeds(std::span<const net::Address> known_peers);
  void FetchManifestFromPeer();
  membership::Heartbeat MakeHeartbeat();

  // Manifest and what follows from it.
  void ApplyManifest(std::string_view text, std::string_view source);
  void UpdateCells();
  void UpdateDesiredServers(const std::string& name, Cell& cell);

  // Actions and roles of the cells.
  void ExecuteActions(const std::string& name, Cell& cell,
                      const ownership::Actions& actions);
  void Execute(const std::string& name, const ownership::ReadRow& action);
  void Execute(const std::string& name, const ownership::WriteRow& action);
  void Execute(const std::string& name,
               const ownership::SendPeerMessage& action);
  void Execute(const std::string& name,
               const ownership::SendGrantOrder& action);
  void OnTableReply(const std::string& name, std::uint64_t request,
                    const store::TableReply& reply);
  void OnGrantResult(const std::string& name, const std::string& server,
                     const ownership::GrantOrder& order,
                     kernel::Instant ordered_at,
                     const net::TransferResult& result);
  void RecordRoleChange(const std::string& name, Cell& cell);

  // Publication of the routing view (the data by which requests are routed to
  // servers) and of the metrics.
  void PublishRoutingView();
  routing::LedCellView MakeLedCellView(Cell& cell) const;
  void PublishMetrics();
  const config::BackendServer* FindBackendServer(const std::string& service,
                                                 std::string_view server) const;

  ControlSettings settings;
  observe::Metrics& metrics;
  store::Platform* platform = nullptr;
  std::function<void(std::shared_ptr<const routing::RoutingView>)> view_handler;
  net::HttpClient http;
  net::Datagram peer_socket;
  membership::PeerTable peers;
  config::ManifestKeeper manifest;
  std::map<std::string, Cell, std::less<>> cells;
  std::map<std::string, store::ListedState, std::less<>> listed_servers;
  /// Store revision of the manifest row whose manifest was read last.
  std::uint64_t last_read_row_revision = 0;
  bool list_read_pending = false;
  bool manifest_read_pending = false;
  bool manifest_fetch_pending = false;
  kernel::Instant last_heartbeat = kernel::kNever;
  bool heartbeat_requested = false;
  bool stopping = false;
  kernel::Instant stop_deadline = kernel::kNever;
  std::function<void()> stop_handler;
  std::uint64_t bytes_sent = 0;
};

}  // namespace chervilmux::control

#endif  // CHERVILMUX_CONTROL_CONTROL_TASK_H_
