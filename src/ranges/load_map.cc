#include "ranges/load_map.h"

#include <algorithm>
#include <cmath>

namespace chervilmux::ranges {
namespace {

/// Load that is this old counts half. Hot keys change within seconds, and a
/// plan made from half a second of requests would follow chance.
constexpr double kHalfLifeS = 1.2;
/// Rates are worked out at most this often.
constexpr double kLeastSpanS = 0.25;

}  // namespace

void LoadCounter::CountRequest(Key key) {
  const std::size_t bucket = key / kKeysPerBucket;
  if (this->counts[bucket] == 0) {
    this->used.push_back(static_cast<std::uint16_t>(bucket));
  }
  this->counts[bucket] += 1;
}

std::vector<BucketCount> LoadCounter::TakeCounts() {
  std::vector<BucketCount> taken;
  taken.reserve(this->used.size());
  for (const std::uint16_t bucket : this->used) {
    taken.push_back({bucket, this->counts[bucket]});
    this->counts[bucket] = 0;
  }
  this->used.clear();
  return taken;
}

void LoadMap::Add(std::span<const BucketCount> counts) {
  for (const auto& count : counts) {
    if (count.bucket < kBucketCount)
      this->added[count.bucket] += count.requests;
  }
}

void LoadMap::UpdateRates(kernel::Instant now) {
  if (this->advanced_at == kernel::kNever) {
    this->advanced_at = now;
    return;
  }
  const double span = kernel::ToSeconds(now - this->advanced_at);
  if (span < kLeastSpanS) return;
  const double kept = std::exp2(-span / kHalfLifeS);
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    const double sample = this->added[i] / span;
    this->rates[i] = this->rates[i] * kept + sample * (1 - kept);
    this->added[i] = 0;
  }
  this->advanced_at = now;
}

double LoadMap::RequestRate(Key first, Key last) const {
  double load = 0;
  const std::uint32_t end = last / kKeysPerBucket;
  for (std::uint32_t bucket = first / kKeysPerBucket; bucket <= end; ++bucket) {
    const std::uint32_t begins =
        std::max<std::uint32_t>(first, bucket * kKeysPerBucket);
    const std::uint32_t ends =
        std::min<std::uint32_t>(last + 1U, (bucket + 1) * kKeysPerBucket);
    load += this->rates[bucket] * (ends - begins) / kKeysPerBucket;
  }
  return load;
}

Key LoadMap::EndOfLoad(Key first, Key last, double load) const {
  double seen = 0;
  std::uint32_t bucket = first / kKeysPerBucket;
  for (;; ++bucket) {
    const std::uint32_t bucket_last = (bucket + 1) * kKeysPerBucket - 1;
    if (bucket_last >= last) return last;
    const Key from = static_cast<Key>(
        std::max<std::uint32_t>(first, bucket * kKeysPerBucket));
    seen += this->RequestRate(from, static_cast<Key>(bucket_last));
    if (seen >= load) return static_cast<Key>(bucket_last);
  }
}

}  // namespace chervilmux::ranges
