/// \file
/// Defines what instances tell each other: how far each knows the store's
/// tables, what the other one lacks, key load for the leader, and the leader's
/// view of owners.

#ifndef CHERVILMUX_NODE_PEER_MESSAGE_H_
#define CHERVILMUX_NODE_PEER_MESSAGE_H_

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"
#include "node/server_list.h"
#include "policy/server_notices.h"
#include "ranges/load_map.h"
#include "ranges/range_table.h"
#include "replica/row_replica.h"
#include "store/metadata_store.h"

namespace chervilmux::node {

/// One instance as it registers itself and introduces itself to others.
struct InstanceRecord {
  std::string name;
  std::uint64_t life = 0;  ///< Rises with each start of this name.
  std::string failure_domain;
  std::string peer_address;
  double processor_share = 0;  ///< In cores; 0 when an older build tells none.
  bool operator==(const InstanceRecord&) const = default;
};

Json::Value ToJson(const InstanceRecord& record);
std::string EncodeInstance(const InstanceRecord& record);
/// Errors: kMessageMalformed.
kernel::Result<InstanceRecord> DecodeInstance(std::string_view text);

/// Term and sequence of a view of owners.
using ViewVersion = std::pair<std::uint64_t, std::uint64_t>;

/// What a server told the sender about itself.
struct NoticeToLeader {
  policy::ServerRun server;
  std::int64_t age_ms = 0;  ///< Since the server's answer.
  /// Left of the time for which the server wants no requests; empty when it
  /// drains.
  std::optional<std::int64_t> back_off_ms;

  bool operator==(const NoticeToLeader&) const = default;
};

/// A message has at most so many of them, of all services together.
inline constexpr std::size_t kMaxNoticesPerSync = 64;
/// Servers with longer ids are not told of.
inline constexpr std::size_t kMaxNoticeIdBytes = 256;

/// "This is what I know": sent every so often.
struct SyncRequest {
  InstanceRecord sender;
  std::map<std::string, replica::TableVersion> table_versions;
  std::map<std::string, ViewVersion> view_versions;
  std::map<std::string, std::vector<ranges::BucketCount>> key_load;
  /// Of the configuration in force, 0 if there is none; not told by older
  /// builds.
  std::optional<std::uint64_t> configuration_version;
  /// Of servers of services that the receiver leads.
  std::map<std::string, std::vector<NoticeToLeader>> notices;
};

struct TableChanges {
  std::vector<store::Row> rows;
  replica::TableVersion as_of;
  bool all = false;  ///< The rows are the whole table.
};

/// What the sender knows of the freshness of one of its copies.
struct TableProof {
  replica::TableVersion as_of;  ///< Of the copy.
  std::int64_t age_ms = 0;      ///< Since it is known to have been the table.
  /// Since the store last failed whoever has proved it; empty if it did not.
  std::optional<std::int64_t> failed_ms_ago;
  bool operator==(const TableProof&) const = default;
};

/// "This is what you lack."
struct SyncReply {
  std::map<std::string, TableChanges> tables;
  std::vector<ranges::RangeTable> views;
  /// The text of the configuration in force when the asker's is older and
  /// `tables` lack it, as they do after the store has come back from a copy.
  std::string configuration;
  std::vector<Departure> departures;
  std::vector<std::string> leads;  ///< Services whose owners it grants.
  /// Time since the sender last heard of a working leader, by service, where
  /// another instance leads.
  std::map<std::string, std::int64_t> leader_heard_ms_ago;
  /// By table; builds before send none, and what they send instead is known to
  /// hold for the configuration only.
  std::map<std::string, TableProof> proofs;
  /// How old the sender's knowledge of the store's tables may be; negative:
  /// unknown. Read by builds that know no proofs.
  std::int64_t knowledge_age_ms = -1;
  /// The era to which that knowledge belongs.
  std::uint64_t knowledge_era = 0;
  /// The same for the servers as `failed_ms_ago`; negative: never. Read by
  /// builds that know no proofs.
  std::int64_t store_trouble_ms_ago = -1;
};

std::string EncodeSync(const SyncRequest& request);
kernel::Result<SyncRequest> DecodeSync(std::string_view text);
std::string EncodeSyncReply(const SyncReply& reply);
kernel::Result<SyncReply> DecodeSyncReply(std::string_view text);

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_PEER_MESSAGE_H_
