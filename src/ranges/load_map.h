/// \file
/// Defines the load of a keyed service per bucket of adjacent keys.
///
/// Memory is bounded by the number of buckets, not of keys. Each instance
/// counts its own requests and reports them; the leader sums the reports and
/// applies an exponential decay.

#ifndef CHERVILMUX_RANGES_LOAD_MAP_H_
#define CHERVILMUX_RANGES_LOAD_MAP_H_

#include <array>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include "kernel/time.h"
#include "ranges/range_table.h"

namespace chervilmux::ranges {

/// Adjacent keys that share one counter. With 16, a hot spot of about 60 keys
/// can still be split among four servers.
inline constexpr std::uint32_t kKeysPerBucket = 16;
inline constexpr std::uint32_t kBucketCount = kKeyCount / kKeysPerBucket;

/// Requests for the keys of one bucket since the last report.
struct BucketCount {
  std::uint16_t bucket = 0;
  std::uint32_t requests = 0;
};

/// Counts the requests of one instance per bucket between two reports.
class LoadCounter {
 public:
  void CountRequest(Key key);

  /// Adds counts that another instance reported, to be reported on.
  void Add(std::span<const BucketCount> reported);

  /// Returns the non-zero counts since the last call and resets them.
  std::vector<BucketCount> TakeCounts();

 private:
  void Count(std::uint16_t bucket, std::uint32_t requests);

  std::array<std::uint32_t, kBucketCount> counts{};
  std::vector<std::uint16_t> used_buckets;
};

/// Request rate per bucket, in requests per second over all instances.
class LoadMap {
 public:
  /// Adds counts that an instance reported; they enter the rates at the next
  /// update.
  void Add(std::span<const BucketCount> counts);

  /// Updates the rates with the counts added since the last update. Does
  /// nothing if the last update was too recent.
  void UpdateRates(kernel::Instant now);

  /// Requests per second for the keys [first, last].
  double RequestRate(Key first, Key last) const;

  double TotalRequestRate() const {
    return this->RequestRate(0, kKeyCount - 1);
  }

  /// Returns the last key of the shortest run of whole buckets that starts at
  /// `first` and has a rate of at least `load`, or `last` if no such run
  /// ends before `last`.
  Key FindLoadEnd(Key first, Key last, double load) const;

 private:
  std::array<double, kBucketCount> rates{};
  std::array<std::uint32_t, kBucketCount> pending_counts{};
  kernel::Instant updated_at = kernel::kNever;
};

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_LOAD_MAP_H_
