#include "membership/heartbeat.h"

#include <optional>
#include <utility>

#include "kernel/time.h"
#include "net/cdr.h"

namespace chervilmux::membership {
namespace {

using kernel::ErrorKind;
using kernel::Fail;
using kernel::Result;

constexpr std::uint64_t kFormatVersion = 1;
// The number after the format version states the type of the datagram.
constexpr std::uint64_t kHeartbeatTag = 1;
constexpr std::uint64_t kCellTag = 2;
// Limits of the counts that a received heartbeat may state.
constexpr std::uint64_t kMaxLedCells = 4096;
constexpr std::uint64_t kMaxKnownPeers = 16;

void Put(net::CdrWriter& writer, const ownership::InstanceId& id) {
  writer.PutText(id.name);
  writer.Put(id.incarnation);
}

ownership::InstanceId GetInstance(net::CdrReader& reader) {
  ownership::InstanceId id;
  id.name = reader.GetText();
  id.incarnation = reader.Get();
  return id;
}

void Put(net::CdrWriter& writer, const net::Address& address) {
  writer.PutText(address.ip);
  writer.Put(address.port);
}

net::Address GetAddress(net::CdrReader& reader) {
  net::Address address;
  address.ip = reader.GetText();
  address.port = static_cast<std::uint16_t>(reader.Get());
  return address;
}

void Put(net::CdrWriter& writer, ownership::RowVersion version) {
  writer.Put(version.term);
  writer.Put(version.sequence);
}

ownership::RowVersion GetVersion(net::CdrReader& reader) {
  ownership::RowVersion version;
  version.term = reader.Get();
  version.sequence = reader.Get();
  return version;
}

void Put(net::CdrWriter& writer, const std::optional<ownership::CellRow>& row) {
  writer.PutText(row ? ownership::EncodeRow(*row) : std::string());
}

Result<std::optional<ownership::CellRow>> GetRow(net::CdrReader& reader) {
  const std::string text = reader.GetText();
  if (text.empty()) return std::optional<ownership::CellRow>();
  BOOST_OUTCOME_TRY(row, ownership::DecodeRow(text));
  return std::optional<ownership::CellRow>(std::move(row));
}

void PutBody(net::CdrWriter& writer, const Heartbeat& heartbeat) {
  writer.Put(kHeartbeatTag);
  Put(writer, heartbeat.from);
  writer.PutText(heartbeat.failure_domain);
  Put(writer, heartbeat.peer_address);
  Put(writer, heartbeat.operator_address);
  writer.Put(heartbeat.manifest_revision);
  writer.Put(heartbeat.stopping ? 1 : 0);
  writer.Put(heartbeat.known_peers.size());
  for (const auto& address : heartbeat.known_peers) Put(writer, address);
  writer.Put(heartbeat.leads.size());
  for (const auto& led_cell : heartbeat.leads) {
    writer.PutText(led_cell.cell);
    writer.Put(led_cell.term);
  }
}

void PutBody(net::CdrWriter& writer, const CellDatagram& datagram) {
  const ownership::PeerMessage& message = datagram.message;
  writer.Put(kCellTag);
  writer.PutText(datagram.cell);
  Put(writer, datagram.reply_to);
  writer.Put(static_cast<std::uint64_t>(message.kind));
  Put(writer, message.from);
  Put(writer, message.version);
  Put(writer, message.serving_version);
  Put(writer, message.row);
  Put(writer, message.serving);
  writer.PutSigned(message.grants_valid_for.count());
  writer.PutSigned(kernel::ToWire(message.sent_at));
  writer.PutSigned(kernel::ToWire(message.echoed_sent_at));
}

Result<PeerDatagram> GetHeartbeat(net::CdrReader& reader) {
  Heartbeat heartbeat;
  heartbeat.from = GetInstance(reader);
  heartbeat.failure_domain = reader.GetText();
  heartbeat.peer_address = GetAddress(reader);
  heartbeat.operator_address = GetAddress(reader);
  heartbeat.manifest_revision = reader.Get();
  heartbeat.stopping = reader.Get() != 0;
  const std::uint64_t known_peer_count = reader.Get();
  if (known_peer_count > kMaxKnownPeers) {
    return Fail(ErrorKind::kMessageMalformed,
                "too many peer addresses in heartbeat");
  }
  for (std::uint64_t i = 0; i < known_peer_count && reader.Good(); ++i) {
    heartbeat.known_peers.push_back(GetAddress(reader));
  }
  // Number of cells that the sender leads.
  const std::uint64_t count = reader.Get();
  if (count > kMaxLedCells) {
    return Fail(ErrorKind::kMessageMalformed, "too many cells in heartbeat");
  }
  for (std::uint64_t i = 0; i < count && reader.Good(); ++i) {
    LedCell led_cell;
    led_cell.cell = reader.GetText();
    led_cell.term = reader.Get();
    heartbeat.leads.push_back(std::move(led_cell));
  }
  if (!reader.Good() || heartbeat.from.Empty()) {
    return Fail(ErrorKind::kMessageMalformed,
                "heartbeat truncated or without sender");
  }
  return PeerDatagram(std::move(heartbeat));
}

Result<PeerDatagram> GetCellDatagram(net::CdrReader& reader) {
  CellDatagram datagram;
  datagram.cell = reader.GetText();
  datagram.reply_to = GetAddress(reader);
  const std::uint64_t kind = reader.Get();
  if (kind > 1)
    return Fail(ErrorKind::kMessageMalformed, "unknown kind of cell message");
  ownership::PeerMessage& message = datagram.message;
  message.kind = static_cast<ownership::PeerMessage::Kind>(kind);
  message.from = GetInstance(reader);
  message.version = GetVersion(reader);
  message.serving_version = GetVersion(reader);
  BOOST_OUTCOME_TRY(row, GetRow(reader));
  BOOST_OUTCOME_TRY(serving, GetRow(reader));
  message.row = std::move(row);
  message.serving = std::move(serving);
  message.grants_valid_for = kernel::Duration(reader.GetSigned());
  message.sent_at = kernel::FromWire(reader.GetSigned());
  message.echoed_sent_at = kernel::FromWire(reader.GetSigned());
  if (!reader.Good() || message.from.Empty()) {
    return Fail(ErrorKind::kMessageMalformed,
                "cell message truncated or without sender");
  }
  return PeerDatagram(std::move(datagram));
}

}  // namespace

std::string Encode(const PeerDatagram& datagram) {
  net::CdrWriter writer;
  writer.Put(kFormatVersion);
  std::visit([&](const auto& body) { PutBody(writer, body); }, datagram);
  return writer.Bytes();
}

Result<PeerDatagram> Decode(std::string_view bytes) {
  net::CdrReader reader(bytes);
  if (reader.Get() != kFormatVersion) {
    return Fail(ErrorKind::kMessageMalformed,
                "unknown datagram format version");
  }
  const std::uint64_t tag = reader.Get();
  if (tag == kHeartbeatTag) return GetHeartbeat(reader);
  if (tag == kCellTag) return GetCellDatagram(reader);
  return Fail(ErrorKind::kMessageMalformed, "unknown datagram tag");
}

}  // namespace chervilmux::membership
