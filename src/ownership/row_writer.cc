#include "ownership/row_writer.h"

#include <utility>

namespace chervilmux::ownership {

RowWriter::RowWriter(const InstanceId& self, const CellTiming& timing,
                     bool resolve_unknown)
    : writer_prefix(self.name + "/" + std::to_string(self.incarnation) + "/"),
      timing(timing),
      resolve_unknown(resolve_unknown) {}

bool RowWriter::Idle(kernel::Instant now) {
  if (this->open_request != 0 && now >= this->overdue_at) this->Fail();
  return this->open_request == 0;
}

void RowWriter::Begin(kernel::Instant now) {
  this->last_request += 1;
  this->open_request = this->last_request;
  this->overdue_at = now + this->timing.store_timeout;
  this->last_attempt = now;
}

void RowWriter::Fail() {
  this->open_request = 0;
  this->down = true;
  this->counters.failures += 1;
  // The write may have taken effect: only a read can tell.
  if (!this->open_write) return;
  if (!this->resolve_unknown) {
    this->open_write.reset();
    return;
  }
  this->revision_certain = false;
  if (this->open_changes_pair) this->uncertain_revision = this->revision;
}

void RowWriter::Read(kernel::Instant now, Actions& actions) {
  this->Begin(now);
  actions.emplace_back(ReadRow{this->open_request});
}

bool RowWriter::Write(CellRow row, bool changes_pair, kernel::Instant now,
                      Actions& actions) {
  if (!this->revision_certain && this->resolve_unknown) {
    this->Read(now, actions);
    return false;
  }
  this->Begin(now);
  row.writer = this->writer_prefix + std::to_string(this->open_request);
  this->open_write = row;
  this->open_changes_pair = changes_pair;
  actions.emplace_back(
      WriteRow{this->open_request, std::move(row), this->revision});
  return true;
}

StoreFact RowWriter::OnReply(const StoreReply& reply) {
  if (reply.request != this->open_request || this->open_request == 0) return {};
  const kernel::Instant proof = this->last_attempt;
  if (reply.status == StoreReply::Status::kFailed) {
    this->Fail();
    return {};
  }
  this->open_request = 0;
  this->down = false;
  if (reply.status == StoreReply::Status::kWritten) {
    CellRow row = std::move(*this->open_write);
    this->open_write.reset();
    this->revision = reply.revision;
    this->revision_certain = true;
    this->stored_version = row.version;
    return {StoreFact::Kind::kWritten, std::move(row), proof};
  }
  if (reply.status == StoreReply::Status::kAbsent) {
    if (this->revision > 0) {
      this->counters.regressions += 1;
      return {};
    }
    this->open_write.reset();
    this->revision_certain = true;
    return {StoreFact::Kind::kAbsent, {}, proof};
  }
  if (reply.status == StoreReply::Status::kConflict) {
    this->counters.conflicts += 1;
  }
  return this->OnRow(reply, proof);
}

StoreFact RowWriter::OnRow(const StoreReply& reply, kernel::Instant proof) {
  if (reply.revision < this->revision || !reply.row) {
    this->counters.regressions += 1;
    return {};
  }
  this->revision = reply.revision;
  this->revision_certain = true;
  this->stored_version = reply.row->version;
  const bool own_write =
      this->open_write && this->open_write->writer == reply.row->writer;
  this->open_write.reset();
  if (!own_write) return {StoreFact::Kind::kSeen, *reply.row, proof};
  this->counters.unknown_resolved += 1;
  return {StoreFact::Kind::kWritten, *reply.row, proof};
}

}  // namespace chervilmux::ownership
