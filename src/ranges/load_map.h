/// \file
/// Defines the load of a keyed service by small groups of neighbouring keys.
///
/// Memory is bounded by the number of groups, not of keys. Each instance counts
/// its own requests and reports them; the leader adds the reports up and
/// forgets old load at a fixed rate.

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

/// Neighbouring keys that are counted together. A hot spot of some 60 keys can
/// then still be divided among four servers.
inline constexpr std::uint32_t kKeysPerBucket = 16;
inline constexpr std::uint32_t kBucketCount = kKeyCount / kKeysPerBucket;

/// Requests in one bucket since the last report.
struct BucketCount {
  std::uint16_t bucket = 0;
  std::uint32_t requests = 0;
};

/// Counts one instance's requests between two reports.
class LoadCounter {
 public:
  void CountRequest(Key key);

  /// The buckets with requests since the last call.
  std::vector<BucketCount> TakeCounts();

 private:
  std::array<std::uint32_t, kBucketCount> counts{};
  std::vector<std::uint16_t> used;
};

/// Requests per second by bucket over all instances.
class LoadMap {
 public:
  void Add(std::span<const BucketCount> counts);

  /// Turns what was added since the last call into rates.
  void UpdateRates(kernel::Instant now);

  /// Requests per second of the keys [first, last].
  double RequestRate(Key first, Key last) const;

  double TotalRequestRate() const {
    return this->RequestRate(0, kKeyCount - 1);
  }

  /// The last key of the shortest run of whole buckets from `first` on that
  /// carries at least `load`, but not beyond `last`.
  Key EndOfLoad(Key first, Key last, double load) const;

 private:
  std::array<double, kBucketCount> rates{};
  std::array<std::uint32_t, kBucketCount> added{};
  kernel::Instant advanced_at = kernel::kNever;
};

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_LOAD_MAP_H_
