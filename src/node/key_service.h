/// \file
/// Defines one keyed service at one instance: the owners as last heard, the key
/// load to report, and the calls that a RangeGrantor asks for.

#ifndef CHERVILMUX_NODE_KEY_SERVICE_H_
#define CHERVILMUX_NODE_KEY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/registry.h"
#include "kernel/time.h"
#include "model/backend_server.h"
#include "net/server_links.h"
#include "node/formats.h"
#include "node/notice_outbox.h"
#include "node/view_history.h"
#include "observe/metrics.h"
#include "policy/server_notices.h"
#include "ranges/load_map.h"
#include "ranges/range_grantor.h"
#include "store/metadata_store.h"

namespace chervilmux::node {

/// Tables of the store that hold owners and leases, by service and era.
inline constexpr std::string_view kRangesTable = "chervilmux-ranges";
inline constexpr std::string_view kLeasesTable = "chervilmux-leases";

/// Key of the rows of `service` in `era`. A write that is performed in a later
/// era, in which versions are given again, cannot meet a row of that era.
std::string RowKey(std::string_view service, std::uint64_t era);

struct KeyServiceEvents {
  std::function<void(const ranges::RangeTable&)> on_owners;  ///< New owners.
  /// To all other instances.
  std::function<void(const ranges::RangeDelta&)> on_publish;
};

class KeyService {
 public:
  /// Finds "store", "formats", "server_links" and "metrics" in the registry.
  KeyService(const kernel::Registry& registry, std::string name,
             std::string instance, double stagger,
             const ranges::GrantorTiming& timing, KeyServiceEvents events);

  void Tick(kernel::Instant now);

  /// The servers of the service that the store lists now.
  void OnServerList(std::span<const model::BackendServer> listed,
                    kernel::Instant now);

  /// A server told this instance something about itself.
  void OnOwnNotice(const policy::ServerNotice& notice);
  /// A server told the instance `teller` something about itself.
  void OnNotice(const policy::ServerNotice& notice, std::string_view teller);
  /// What the leader has not heard from this instance.
  NoticeOutbox& Notices() { return this->notices; }
  LeaderTerm Leader() const { return {this->owners.leader, this->owners.term}; }

  /// Owners as told by the leader, or as read from the store.
  void OnView(const ranges::RangeTable& view, bool from_leader);
  /// A change that the leader sent. Returns whether it applies to Owners();
  /// otherwise the whole table is needed.
  bool OnDelta(const ranges::RangeDelta& delta);
  void OnLeaderAlive();

  const ranges::RangeTable& Owners() const { return this->owners; }
  /// The version of Owners() that all instances should have heard by now.
  ViewVersion HeardByAll(kernel::Instant now) {
    return this->history.HeardByAll(now);
  }
  ranges::LoadCounter& Sketch() { return this->sketch; }
  ranges::RangeGrantor& Grantor() { return this->grantor; }
  bool Leads() const { return this->grantor.Leads(); }

 private:
  void SendOrder(const ranges::RangeOrder& order);
  void Write(const ranges::GrantorActions::Write& write);
  /// Removes the rows of eras that are at least two older than `era`, once for
  /// each era. Call when no grant of an earlier era is open any more.
  void RemoveOldRows(std::uint64_t era);
  void RemoveOldRows(const store::RowsReply& tables,
                     const store::RowsReply& leases);
  /// Whether `row` holds owners of this service in an era that is at least two
  /// older than `era`.
  bool IsOldTable(const store::Row& row, std::uint64_t era) const;
  void Read();
  /// What a reading of the lease row alone tells.
  ranges::GrantorRows LeaseFrom(const store::RowsReply& leases) const;
  void OnRead(const store::RowsReply& leases, const store::RowsReply& tables);
  /// The newest table of an era before `era` that the store holds or that was
  /// heard.
  std::optional<ranges::RangeTable> TableBeforeEra(
      const store::RowsReply& tables, std::uint64_t era) const;
  void SetOwners(const ranges::RangeTable& table);
  void LogLeadership();
  void LogEra();
  void LogLapse(const ranges::ExpiryNotice& notice, kernel::Instant now);

  const Formats& formats;
  store::MetadataStore& store;
  net::ServerLinks& links;
  observe::Metrics& metrics;
  std::string name;
  std::string instance;
  KeyServiceEvents events;
  ranges::RangeGrantor grantor;
  ranges::LoadCounter sketch;
  NoticeOutbox notices;
  ranges::RangeTable owners;
  ViewHistory history;  ///< Of `owners`.
  bool led = false;
  std::uint64_t logged_era = 0;
  std::uint64_t cleaned_era = 0;  ///< The last for which old rows were removed.
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_KEY_SERVICE_H_
