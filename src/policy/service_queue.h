/// \file
/// Defines the order of the requests of one service that wait at this instance
/// for a backend server.
///
/// It matters when there are more requests than the servers can take. Requests
/// that can still be answered within their latency objectives come first, by
/// priority and then by earliest objective. The others get what is left over.
/// Requests of different owners of keys wait independently of each other; those
/// of a service without keys all have the owner "".
///
/// Adding, removing and finding a request takes time that grows with the
/// logarithm of the number of waiting requests.

#ifndef CHERVILMUX_POLICY_SERVICE_QUEUE_H_
#define CHERVILMUX_POLICY_SERVICE_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/time.h"

namespace chervilmux::policy {

struct WaitingRequest {
  std::uint64_t id = 0;   ///< In order of arrival.
  std::string owner;      ///< Of its key; "" without keys.
  unsigned priority = 0;  ///< 0 is the most urgent.
  /// When it has to be sent at the latest to meet its latency objective.
  kernel::Instant in_time_until;
  /// Its wait limit.
  kernel::Instant give_up_at;
  /// It can't be sent before, for example because its key is moving.
  kernel::Instant not_before = kernel::kNever;
};

class ServiceQueue {
 public:
  /// Adds a request whose id is not in the queue.
  void Insert(WaitingRequest request);
  /// Does nothing when `id` is not in the queue.
  void Remove(std::uint64_t id);
  /// Changes the owner of a waiting request, and when it can be sent.
  void Move(std::uint64_t id, std::string owner, kernel::Instant not_before);

  /// The request of `owner` to send first; nothing when none can be sent.
  std::optional<std::uint64_t> Next(std::string_view owner,
                                    kernel::Instant now);
  /// A request whose wait limit has passed.
  std::optional<std::uint64_t> NextExpired(kernel::Instant now) const;
  /// The request of `owner` that gives up first, if it does so before `end`.
  std::optional<std::uint64_t> NextToGiveUp(std::string_view owner,
                                            kernel::Instant end) const;

  bool Empty() const { return this->entries.empty(); }
  std::size_t Size() const { return this->entries.size(); }
  /// Requests that wait for `owner`.
  std::size_t Count(std::string_view owner) const;
  /// Those among them that are at least as urgent as `priority`.
  std::size_t CountAhead(std::string_view owner, unsigned priority) const;
  /// Whether a request waits for `owner` that can meet its latency objective.
  bool HasInTime(std::string_view owner, kernel::Instant now);

  /// The owners for which requests wait.
  std::vector<std::string> Owners() const;
  std::vector<std::uint64_t> Ids() const;

 private:
  struct Rank {
    bool late = false;
    unsigned priority = 0;
    kernel::Instant in_time_until;
    std::uint64_t id = 0;
    auto operator<=>(const Rank&) const = default;
  };
  struct Timed {
    kernel::Instant at;
    std::uint64_t id = 0;
    auto operator<=>(const Timed&) const = default;
  };
  struct Entry {
    WaitingRequest request;
    bool held = false;  ///< Until `not_before`.
    bool late = false;
  };
  /// The requests of one owner.
  struct Group {
    std::set<Rank> ready;
    std::set<Timed> in_time;  ///< Those of `ready` that are not late.
    std::set<Timed> by_give_up;
    std::map<unsigned, std::size_t> count_by_priority;
  };

  static Rank RankOf(const Entry& entry);
  void MakeReady(Entry& entry);
  /// Updates which requests are held and, for `group`, which are late.
  void Advance(Group& group, kernel::Instant now);
  Group* FindGroup(std::string_view owner);
  const Group* FindGroup(std::string_view owner) const;

  std::unordered_map<std::uint64_t, Entry> entries;
  std::map<std::string, Group, std::less<>> groups;
  std::set<Timed> by_give_up;
  std::set<Timed> held;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVICE_QUEUE_H_
