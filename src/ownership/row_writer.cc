#include "ownership/row_writer.h"

#include <utility>

namespace chervilmux::ownership {

RowWriter::RowWriter(const InstanceId& self, const CellTiming& timing,
                     bool resolve_unknown_writes)
    : writer_prefix(self.name + "/" + std::to_string(self.incarnation) + "/"),
      timing(timing),
      resolve_unknown_writes(resolve_unknown_writes) {}

bool RowWriter::CheckIdle(kernel::Instant now) {
  if (this->pending_request != 0 && now >= this->request_deadline)
    this->RecordFailure();
  return this->pending_request == 0;
}

void RowWriter::StartRequest(kernel::Instant now) {
  this->last_request += 1;
  this->pending_request = this->last_request;
  this->request_deadline = now + this->timing.store_timeout;
  this->last_request_at = now;
}

void RowWriter::RecordFailure() {
  this->pending_request = 0;
  this->last_request_failed = true;
  this->counters.failures += 1;
  // The write may have taken effect; only a read shows whether it did.
  if (!this->pending_write) return;
  if (!this->resolve_unknown_writes) {
    this->pending_write.reset();
    return;
  }
  this->revision_confirmed = false;
  if (this->pending_write_changes_members)
    this->unknown_outcome_revision = this->revision;
}

void RowWriter::StartRead(kernel::Instant now, Actions& actions) {
  this->StartRequest(now);
  actions.emplace_back(ReadRow{this->pending_request});
}

bool RowWriter::StartWrite(CellRow row, bool changes_members,
                           kernel::Instant now, Actions& actions) {
  if (!this->revision_confirmed && this->resolve_unknown_writes) {
    this->StartRead(now, actions);
    return false;
  }
  this->StartRequest(now);
  row.writer = this->writer_prefix + std::to_string(this->pending_request);
  this->pending_write = row;
  this->pending_write_changes_members = changes_members;
  actions.emplace_back(
      WriteRow{this->pending_request, std::move(row), this->revision});
  return true;
}

StoreResult RowWriter::OnReply(const StoreReply& reply) {
  if (reply.request != this->pending_request || this->pending_request == 0)
    return {};
  const kernel::Instant not_before = this->last_request_at;
  if (reply.status == StoreReply::Status::kFailed) {
    this->RecordFailure();
    return {};
  }
  this->pending_request = 0;
  this->last_request_failed = false;
  if (reply.status == StoreReply::Status::kWritten) {
    CellRow row = std::move(*this->pending_write);
    this->pending_write.reset();
    this->revision = reply.revision;
    this->revision_confirmed = true;
    this->stored_version = row.version;
    return {StoreResult::Kind::kWritten, std::move(row), not_before};
  }
  if (reply.status == StoreReply::Status::kAbsent) {
    if (this->revision > 0) {
      this->counters.regressions += 1;
      return {};
    }
    this->pending_write.reset();
    this->revision_confirmed = true;
    return {StoreResult::Kind::kAbsent, {}, not_before};
  }
  if (reply.status == StoreReply::Status::kConflict) {
    this->counters.conflicts += 1;
  }
  return this->OnStoredRow(reply, not_before);
}

StoreResult RowWriter::OnStoredRow(const StoreReply& reply,
                                   kernel::Instant not_before) {
  if (reply.revision < this->revision || !reply.row) {
    this->counters.regressions += 1;
    return {};
  }
  this->revision = reply.revision;
  this->revision_confirmed = true;
  this->stored_version = reply.row->version;
  const bool is_own_write =
      this->pending_write && this->pending_write->writer == reply.row->writer;
  this->pending_write.reset();
  if (!is_own_write) return {StoreResult::Kind::kRead, *reply.row, not_before};
  this->counters.unknown_writes_resolved += 1;
  return {StoreResult::Kind::kWritten, *reply.row, not_before};
}

}  // namespace chervilmux::ownership
