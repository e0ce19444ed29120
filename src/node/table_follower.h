/// \file
/// Defines how this instance keeps its copy of one store table up to date: one
/// listing, then a waiting request for changes at all times. A later era of the
/// store begins with a listing again.
///
/// Each copy has a proof of its own: the last time at which it is known to have
/// been the whole table. Only answers about this table move it, the store's to
/// calls made here or those that a peer passes on, and never the age of another
/// table or the start of a call that still waits.
///
/// The proof also tells when the store last failed whoever gave it, as opposed
/// to whoever holds the copy: an instance that alone cannot reach the store
/// knows what the others know, and its own failures say nothing about that.

#ifndef CHERVILMUX_NODE_TABLE_FOLLOWER_H_
#define CHERVILMUX_NODE_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kernel/task.h"
#include "kernel/time.h"
#include "node/peer_message.h"
#include "replica/row_replica.h"
#include "store/metadata_store.h"

namespace chervilmux::node {

/// What is known of the freshness of a copy.
struct CopyProof {
  /// The last time at which the copy is known to have been the whole table;
  /// kNever before the first proof.
  kernel::Instant known_as_of = kernel::kNever;
  /// When the store last failed to answer the instance that gave this proof;
  /// kNever if it did not.
  kernel::Instant store_failed_at = kernel::kNever;
};

/// What a follower tells its owner.
struct FollowerEvents {
  std::function<void()> on_news;          ///< The copy has changed.
  std::function<void()> on_store_failed;  ///< The store did not answer.
  /// The store answered in a later era than before.
  std::function<void(std::uint64_t era)> on_later_era = [](std::uint64_t) {};
};

class TableFollower {
 public:
  /// `wait` is the length of one waiting call for changes.
  TableFollower(store::MetadataStore& store, std::string table,
                kernel::Duration wait, FollowerEvents events);

  /// Starts a call when one is due. Call every few milliseconds.
  void CheckTime(kernel::Instant now);

  /// The store's connections are suspect: a call that has been out for long
  /// is given up and made again, and its answer is no longer awaited.
  void Renew(kernel::Instant now);

  /// Takes in what a peer knows.
  void ApplyFromPeer(const TableChanges& changes);

  /// Takes in the proof of a peer's copy. It counts only if this copy is of the
  /// same version: an older one lacks changes, and what a peer with an older
  /// one takes for the present is past.
  void ApplyPeerProof(replica::TableVersion as_of, const CopyProof& told);

  const replica::RowReplica& Copy() const { return this->copy; }
  const std::string& Table() const { return this->table; }

  /// The store has answered in `era`, perhaps about another table: a call that
  /// waits for changes of an earlier era is given up.
  void NoteEra(std::uint64_t era);

  /// Whether the table was read whole once.
  bool Listed() const { return this->listed; }

  /// The latest proof of the copy; while `on_news` runs, that of the copy
  /// before the news.
  const CopyProof& Proof() const { return this->proof; }
  kernel::Instant KnownAsOf() const { return this->proof.known_as_of; }

 private:
  void OnReply(const store::RowsReply& reply);
  void OnList(const store::RowsReply& reply);
  void OnChanges(const store::RowsReply& reply);
  void OnFailure(store::StoreStatus status);
  /// The store has answered the last call about the table as it then was.
  void OnAnswered(kernel::Instant answered_at);
  /// The store has not answered the last call.
  void NoteFailure(kernel::Instant now);
  void GiveUpCall();
  /// Puts off the next call, for longer after each failure.
  void Pause();
  /// Replaces the copy by a whole table. Returns whether any row changed.
  bool TakeTable(const std::vector<store::Row>& rows,
                 replica::TableVersion as_of);

  store::MetadataStore& store;
  std::string table;
  kernel::Duration wait;
  FollowerEvents events;
  replica::RowReplica copy;
  bool listed = false;
  bool calling = false;
  bool listing = false;          ///< What the last call asks for.
  std::uint64_t newest_era = 0;  ///< That the store has answered in.
  std::uint64_t call = 0;  ///< Number of the last one; older ones are given up.
  kernel::Instant called_at = kernel::kNever;
  bool lost = false;      ///< The last call failed.
  unsigned failures = 0;  ///< Calls in a row that brought nothing to use.
  kernel::Instant next_call = kernel::kNever;
  CopyProof proof;
  bool is_proof_own = true;  ///< Given by the store, not by a peer.
  /// The last failure that may have been the store's.
  kernel::Instant own_failure_at = kernel::kNever;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_TABLE_FOLLOWER_H_
