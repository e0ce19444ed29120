// The part of ControlTask that executes the actions that each cell's
// CellMachine returns, and passes the results back to it.

#include <utility>

#include "backend/server_protocol.h"
#include "control/control_task.h"
#include "observe/log.h"

namespace chervilmux::control {
namespace {

using kernel::Instant;

/// Time limit for a server's reply to a grant order.
constexpr kernel::Duration kGrantTimeout = kernel::milliseconds(300);

ownership::StoreReply ToStoreReply(std::uint64_t request,
                                   const store::TableReply& reply) {
  using TableStatus = store::TableReply::Status;
  using StoreStatus = ownership::StoreReply::Status;
  ownership::StoreReply result;
  result.request = request;
  result.revision = reply.revision;
  const bool has_row = reply.status == TableStatus::kValue ||
                       reply.status == TableStatus::kConflict;
  if (has_row && !reply.value.empty()) {
    auto row = ownership::DecodeRow(reply.value);
    if (!row) return result;
    result.row = std::move(row).value();
  }
  switch (reply.status) {
    case TableStatus::kValue:
      result.status = StoreStatus::kRow;
      break;
    case TableStatus::kAbsent:
      result.status = StoreStatus::kAbsent;
      break;
    case TableStatus::kWritten:
      result.status = StoreStatus::kWritten;
      break;
    case TableStatus::kConflict:
      // A conflict without a row means that the row does not exist.
      result.status =
          result.row ? StoreStatus::kConflict : StoreStatus::kAbsent;
      break;
    case TableStatus::kFailed:
      break;
  }
  return result;
}

}  // namespace

void ControlTask::ExecuteActions(const std::string& name, Cell& cell,
                                 const ownership::Actions& actions) {
  for (const auto& action : actions) {
    std::visit(
        [&](const auto& typed_action) { this->Execute(name, typed_action); },
        action);
  }
  this->RecordRoleChange(name, cell);
}

void ControlTask::RecordRoleChange(const std::string& name, Cell& cell) {
  const ownership::CellMachine::Role role = cell.machine.CurrentRole();
  if (role == cell.last_role) return;
  cell.last_role = role;
  this->heartbeat_requested = true;
  observe::LogInfo(
      "cell_role",
      {{"cell", name},
       {"role", std::string(ownership::RoleName(role))},
       {"term", std::to_string(cell.machine.NewestRow().version.term)}});
}

void ControlTask::Execute(const std::string& name,
                          const ownership::ReadRow& action) {
  const std::uint64_t request = action.request;
  this->platform->ReadRow(
      store::CellRowKey(name),
      [this, name, request](const store::TableReply& reply) {
        this->OnTableReply(name, request, reply);
      });
}

void ControlTask::Execute(const std::string& name,
                          const ownership::WriteRow& action) {
  const std::uint64_t request = action.request;
  this->platform->WriteRow(
      store::CellRowKey(name), ownership::EncodeRow(action.row),
      action.expected_revision,
      [this, name, request](const store::TableReply& reply) {
        this->OnTableReply(name, request, reply);
      });
}

void ControlTask::OnTableReply(const std::string& name, std::uint64_t request,
                               const store::TableReply& reply) {
  const auto found = this->cells.find(name);
  if (found == this->cells.end()) return;
  ownership::Actions actions;
  found->second.machine.OnStoreReply(ToStoreReply(request, reply),
                                     kernel::Now(), actions);
  this->ExecuteActions(name, found->second, actions);
}

void ControlTask::Execute(const std::string& name,
                          const ownership::SendPeerMessage& action) {
  const net::Address to = this->peers.FindPeerAddress(action.to.name);
  if (to.Empty()) return;
  membership::CellDatagram datagram;
  datagram.cell = name;
  datagram.reply_to = this->settings.peer_address;
  datagram.message = action.message;
  const std::string bytes = membership::Encode(datagram);
  this->peer_socket.Send(to, bytes);
  this->bytes_sent += bytes.size();
}

void ControlTask::Execute(const std::string& name,
                          const ownership::SendGrantOrder& action) {
  const auto cell = this->cells.find(name);
  const config::BackendServer* server =
      this->FindBackendServer(cell->second.service, action.server);
  if (server == nullptr) return;
  const Instant ordered_at = kernel::Now();
  net::TransferOptions options;
  options.deadline = ordered_at + kGrantTimeout;
  options.may_repeat = true;
  const net::HttpRequest request =
      backend::BuildGrant(server->address, name, action.order);
  this->bytes_sent += request.body.size();
  this->http.Start(
      request, options,
      [this, name, server_name = action.server, order = action.order,
       ordered_at](const net::TransferResult& result) {
        this->OnGrantResult(name, server_name, order, ordered_at, result);
      });
}

void ControlTask::OnGrantResult(const std::string& name,
                                const std::string& server,
                                const ownership::GrantOrder& order,
                                Instant ordered_at,
                                const net::TransferResult& result) {
  const auto found = this->cells.find(name);
  if (found == this->cells.end()) return;
  const auto reply =
      backend::ParseGrantReply(server, order, ordered_at, result);
  if (!reply) {
    this->metrics.Count("chervilmux_grants_unanswered_total").Add();
    return;
  }
  ownership::Actions actions;
  ownership::CellMachine& machine = found->second.machine;
  const bool owners_were_changing = machine.IsChangingOwners();
  machine.OnGrantReply(*reply, kernel::Now(), actions);
  // When a change of owners completes, the extra tick grants the moved keys to
  // their new owners without waiting for the next period.
  if (owners_were_changing && !machine.IsChangingOwners())
    machine.OnTick(kernel::Now(), actions);
  this->ExecuteActions(name, found->second, actions);
}

}  // namespace chervilmux::control
