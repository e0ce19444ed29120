#include "node/key_service.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <span>
#include <utility>

#include "observe/log.h"

namespace chervilmux::node {
namespace {

using kernel::Instant;

/// The row of `key`, or one of version 0.
store::Row FindRow(const store::RowsReply& reply, std::string_view key) {
  for (const auto& row : reply.rows) {
    if (row.key == key) return row;
  }
  return {};
}

store::Row MakeRow(std::string_view table, std::string_view key,
                   std::string value, std::uint64_t version) {
  store::Row row;
  row.table = std::string(table);
  row.key = std::string(key);
  row.value = std::move(value);
  row.version = version;
  return row;
}

ranges::OrderOutcome EndOfOrder(const net::TransferResult& result) {
  return result.possibly_sent ? ranges::OrderOutcome::kNoAnswer
                              : ranges::OrderOutcome::kNotSent;
}

std::string_view NameOf(ranges::OrderOutcome end) {
  switch (end) {
    case ranges::OrderOutcome::kAccepted:
      return "accepted";
    case ranges::OrderOutcome::kHigherFence:
      return "higher-fence";
    case ranges::OrderOutcome::kNotSent:
      return "not-asked";
    case ranges::OrderOutcome::kNoAnswer:
      return "unanswered";
  }
  return "";
}

}  // namespace

std::string RowKey(std::string_view service, std::uint64_t era) {
  std::string key(service);
  // A store that tells no era keeps its rows under the plain name.
  if (era != 0) key += "#" + std::to_string(era);
  return key;
}

KeyService::KeyService(const kernel::Registry& registry, std::string name,
                       std::string instance, double stagger,
                       const ranges::GrantorTiming& timing,
                       KeyServiceEvents events)
    : formats(registry.Find<Formats>("formats")),
      store(registry.Find<store::MetadataStore>("store")),
      links(registry.Find<net::ServerLinks>("server_links")),
      metrics(registry.Find<observe::Metrics>("metrics")),
      name(name),
      instance(instance),
      events(std::move(events)),
      grantor(std::move(name), std::move(instance), stagger, timing) {}

void KeyService::Tick(Instant now) {
  const auto actions = this->grantor.Tick(now);
  this->LogLeadership();
  this->LogEra();
  if (actions.read) this->Read();
  if (actions.write) this->Write(*actions.write);
  for (const auto& order : actions.orders) this->SendOrder(order);
  for (const auto& notice : actions.expiries) this->LogLapse(notice, now);
  if (actions.publish) {
    const auto delta =
        ranges::DiffTables(this->owners, this->grantor.PublishedTable());
    this->SetOwners(this->grantor.PublishedTable());
    this->events.on_publish(delta);
  }
}

void KeyService::OnServerList(std::span<const model::BackendServer> listed,
                              Instant now) {
  this->grantor.OnServerList(listed, now);
  this->notices.Update(listed, now);
}

void KeyService::OnOwnNotice(const policy::ServerNotice& notice) {
  // Also while another instance leads: this one may lead next.
  this->OnNotice(notice, this->instance);
  const bool has_keys_to_move =
      notice.kind == policy::NoticeKind::kDraining &&
      std::ranges::any_of(this->owners.ranges, [&](const auto& range) {
        return range.owner == notice.server.id;
      });
  this->notices.Add(notice, has_keys_to_move);
}

void KeyService::OnNotice(const policy::ServerNotice& notice,
                          std::string_view teller) {
  const policy::ServerRun& server = notice.server;
  const Instant now = kernel::Now();
  if (notice.kind == policy::NoticeKind::kBackOff) {
    this->grantor.OnServerBackOff(server.id, server.life, notice.until, now);
    return;
  }
  if (!this->grantor.OnServerDraining(server.id, server.life, now)) return;
  if (!this->Leads()) return;
  observe::LogInfo(
      "owner_draining_told",
      {{"service", this->name},
       {"server", server.id},
       {"life", std::to_string(server.life)},
       {"told_by", std::string(teller)},
       {"age_ms", std::to_string(kernel::ToMs(now - notice.received_at))}});
}

void KeyService::LogLeadership() {
  if (this->led == this->grantor.Leads()) return;
  this->led = !this->led;
  observe::LogInfo(this->led ? "leads_owners" : "leads_owners_no_more",
                   {{"service", this->name}});
}

/// Only the leader goes on with the owners of the era before.
void KeyService::LogEra() {
  if (this->logged_era == this->grantor.Era()) return;
  observe::LogInfo("owners_era",
                   {{"service", this->name},
                    {"era", std::to_string(this->grantor.Era())},
                    {"era_before", std::to_string(this->logged_era)},
                    {"leads", this->grantor.Leads() ? "yes" : "no"}});
  this->logged_era = this->grantor.Era();
}

void KeyService::LogLapse(const ranges::ExpiryNotice& notice, Instant now) {
  const bool over = notice.expires_at <= now;
  const auto left = over ? kernel::Duration(0) : notice.expires_at - now;
  observe::LogInfo("owner_lapses",
                   {{"service", this->name},
                    {"server", notice.server},
                    {"first", std::to_string(notice.first)},
                    {"last", std::to_string(notice.last)},
                    {"free_in_ms", std::to_string(kernel::ToMs(left))},
                    {"why", std::string(notice.why)}});
}

void KeyService::OnView(const ranges::RangeTable& view, bool from_leader) {
  const bool newer = view.IsNewerThan(this->owners);
  if (from_leader && !this->owners.IsNewerThan(view)) {
    this->grantor.OnLeaderContact(view, kernel::Now());
  }
  if (!newer || this->grantor.Leads()) return;
  this->SetOwners(view);
}

void KeyService::SetOwners(const ranges::RangeTable& table) {
  this->owners = table;
  this->history.Add({table.term, table.sequence}, kernel::Now());
  this->events.on_owners(this->owners);
}

bool KeyService::OnDelta(const ranges::RangeDelta& delta) {
  const auto version = std::pair(delta.term, delta.sequence);
  const auto known = std::pair(this->owners.term, this->owners.sequence);
  if (this->grantor.Leads() || version <= known) return true;
  ranges::RangeTable changed = this->owners;
  if (!ranges::ApplyDelta(delta, changed)) return false;
  this->SetOwners(changed);
  this->OnLeaderAlive();
  return true;
}

void KeyService::OnLeaderAlive() {
  this->grantor.OnLeaderContact(this->owners, kernel::Now());
}

void KeyService::SendOrder(const ranges::RangeOrder& order) {
  net::Exchange exchange;
  exchange.address = order.address;
  exchange.request = this->formats.EncodeOrder(order);
  exchange.deadline = kernel::Now() + order.timeout;
  exchange.may_repeat = true;
  // Orders have no id. On a kept connection an earlier answer, written once
  // more, could end a release or deny a grant that the server has taken.
  exchange.fresh_connection = !order.is_renewal;
  exchange.belongs = [this](const net::HttpAnswer& answer) {
    return this->formats.MayAnswerOrder(answer);
  };
  exchange.done = [this, order](const net::TransferResult& result) {
    ranges::OrderReply reply;
    reply.id = order.id;
    reply.end = EndOfOrder(result);
    if (result.end == net::TransferEnd::kComplete) {
      reply = this->formats.DecodeOrderAnswer(order.id, result.answer);
    }
    // The order is sent again, on a new connection.
    const bool is_certain = !result.reused_connection ||
                            reply.end == ranges::OrderOutcome::kAccepted;
    if (result.end == net::TransferEnd::kComplete && !is_certain) {
      reply.end = ranges::OrderOutcome::kNoAnswer;
    }
    const bool grant = order.kind == ranges::OrderKind::kGrant;
    this->metrics
        .Count(grant ? "chervilmux_grants_total" : "chervilmux_releases_total",
               observe::Label("end", NameOf(reply.end)))
        .Add();
    const bool routine = grant &&
                         reply.end == ranges::OrderOutcome::kAccepted &&
                         order.handover.empty();
    if (!routine) {
      observe::LogInfo(grant ? "grant" : "release",
                       {{"service", this->name},
                        {"server", order.server},
                        {"first", std::to_string(order.first)},
                        {"last", std::to_string(order.last)},
                        {"fence", std::to_string(order.fence)},
                        {"end", std::string(NameOf(reply.end))}});
    }
    this->grantor.OnOrderReply(reply, kernel::Now());
  };
  this->links.Start(std::move(exchange));
}

void KeyService::Write(const ranges::GrantorActions::Write& write) {
  store::Transaction transaction;
  const std::string key = RowKey(this->name, write.era);
  transaction.expected.push_back(
      MakeRow(kLeasesTable, key, "", write.lease_version));
  transaction.writes.push_back(
      MakeRow(kLeasesTable, key, ranges::EncodeLease(write.lease), 0));
  if (write.table) {
    transaction.expected.push_back(
        MakeRow(kRangesTable, key, "", write.table_version));
    transaction.writes.push_back(
        MakeRow(kRangesTable, key, ranges::EncodeTable(*write.table), 0));
    const ranges::OwnerShares shares = ranges::SharesOf(*write.table);
    observe::LogInfo("owners_commit",
                     {{"service", this->name},
                      {"term", std::to_string(write.table->term)},
                      {"sequence", std::to_string(write.table->sequence)},
                      {"ranges", std::to_string(write.table->ranges.size())},
                      {"owners", std::to_string(shares.owners)},
                      {"largest_share", std::to_string(shares.largest)},
                      {"last_fence", std::to_string(write.table->last_fence)}});
  }
  this->store.Commit(
      transaction, [this, id = write.id, era = write.era,
                    is_settled = write.table && !write.table->unsettled](
                       const store::CommitReply& reply) {
        if (reply.status != store::StoreStatus::kDone) {
          observe::LogWarn(
              "owners_write_failed",
              {{"service", this->name},
               {"status", std::to_string(static_cast<int>(reply.status))}});
        }
        this->grantor.OnWriteReply({id, reply.status, reply.version, reply.era},
                                   kernel::Now());
        if (reply.status == store::StoreStatus::kDone && is_settled)
          this->RemoveOldRows(era);
      });
}

bool KeyService::IsOldTable(const store::Row& row, std::uint64_t era) const {
  const auto table = ranges::DecodeTable(row.value);
  if (!table || table.value().service != this->name) return false;
  const std::uint64_t row_era = ranges::EraOfTerm(table.value().term);
  return row.key == RowKey(this->name, row_era) && row_era + 2 <= era;
}

void KeyService::RemoveOldRows(std::uint64_t era) {
  constexpr std::uint64_t kFirstWithOlder = 2;
  if (era < kFirstWithOlder || era == this->cleaned_era) return;
  this->cleaned_era = era;
  this->store.List(kRangesTable, [this, era](store::RowsReply tables) {
    if (tables.status != store::StoreStatus::kDone || tables.era != era) return;
    std::erase_if(tables.rows, [this, era](const store::Row& row) {
      return !this->IsOldTable(row, era);
    });
    if (tables.rows.empty()) return;
    this->store.List(kLeasesTable,
                     [this, tables](const store::RowsReply& leases) {
                       this->RemoveOldRows(tables, leases);
                     });
  });
}

void KeyService::RemoveOldRows(const store::RowsReply& tables,
                               const store::RowsReply& leases) {
  // Each takes two entries for its table and two for its lease; the store takes
  // 100 in a call.
  constexpr std::size_t kMostAtOnce = 20;
  if (leases.status != store::StoreStatus::kDone || leases.era != tables.era)
    return;
  store::Transaction transaction;
  for (const auto& table :
       std::span(tables.rows)
           .first(std::min(tables.rows.size(), kMostAtOnce))) {
    store::Row lease = FindRow(leases, table.key);
    transaction.deletes.push_back(
        MakeRow(kRangesTable, table.key, "", table.version));
    if (lease.version == 0) continue;
    transaction.deletes.push_back(
        MakeRow(kLeasesTable, table.key, "", lease.version));
  }
  transaction.expected = transaction.deletes;
  this->store.Commit(transaction, [this, count = transaction.deletes.size()](
                                      const store::CommitReply& reply) {
    observe::LogInfo(
        "owners_of_earlier_eras_removed",
        {{"service", this->name},
         {"rows", std::to_string(count)},
         {"status", std::to_string(static_cast<int>(reply.status))}});
  });
}

void KeyService::Read() {
  // The lease first: a table that is newer than it only makes a claim fail.
  this->store.List(kLeasesTable, [this](const store::RowsReply& leases) {
    if (leases.status != store::StoreStatus::kDone) {
      this->grantor.OnReadFailed(kernel::Now());
      return;
    }
    if (!this->grantor.OnLeaseRead(this->LeaseFrom(leases), kernel::Now()))
      return;
    this->store.List(kRangesTable,
                     [this, leases](const store::RowsReply& tables) {
                       this->OnRead(leases, tables);
                     });
  });
}

ranges::GrantorRows KeyService::LeaseFrom(
    const store::RowsReply& leases) const {
  ranges::GrantorRows rows;
  rows.era = leases.era;
  const store::Row lease = FindRow(leases, RowKey(this->name, rows.era));
  rows.lease_version = lease.version;
  auto decoded = ranges::DecodeLease(lease.value);
  if (decoded) rows.lease = std::move(decoded.value());
  return rows;
}

void KeyService::OnRead(const store::RowsReply& leases,
                        const store::RowsReply& tables) {
  const Instant now = kernel::Now();
  if (tables.status != store::StoreStatus::kDone || tables.era != leases.era) {
    this->grantor.OnReadFailed(now);
    return;
  }
  ranges::GrantorRows rows = this->LeaseFrom(leases);
  const store::Row table = FindRow(tables, RowKey(this->name, rows.era));
  rows.table_version = table.version;
  auto decoded_table = ranges::DecodeTable(table.value);
  if (table.version == 0) {
    rows.table = this->TableBeforeEra(tables, rows.era);
  } else if (decoded_table) {
    rows.table = std::move(decoded_table.value());
  } else {
    // Without its tokens nothing can be granted safely.
    observe::LogError(
        "owners_unreadable",
        {{"service", this->name}, {"why", decoded_table.error().detail}});
    this->grantor.OnReadFailed(now);
    return;
  }
  this->grantor.OnRowsRead(rows, now);
}

std::optional<ranges::RangeTable> KeyService::TableBeforeEra(
    const store::RowsReply& tables, std::uint64_t era) const {
  std::optional<ranges::RangeTable> newest;
  const auto consider = [&](const ranges::RangeTable& table) {
    const bool is_newest = !newest || table.IsNewerThan(*newest);
    if (ranges::EraOfTerm(table.term) < era && is_newest) newest = table;
  };
  if (!this->owners.ranges.empty()) consider(this->owners);
  const std::string prefix = RowKey(this->name, 0) + "#";
  for (const auto& row : tables.rows) {
    if (row.key != this->name && !row.key.starts_with(prefix)) continue;
    const auto table = ranges::DecodeTable(row.value);
    if (table && table.value().service == this->name) {
      consider(table.value());
    } else {
      observe::LogWarn("owners_unreadable",
                       {{"service", this->name}, {"row", row.key}});
    }
  }
  return newest;
}

}  // namespace chervilmux::node
