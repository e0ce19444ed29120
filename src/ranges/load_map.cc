#include "ranges/load_map.h"

#include <algorithm>
#include <cmath>

namespace chervilmux::ranges {
namespace {

/// Samples lose half their weight in this time. Hot keys change within seconds,
/// and a plan based on half a second of requests would follow random noise.
constexpr double kSampleHalfLifeS = 1.2;
/// Minimum time between two updates of the rates.
constexpr double kMinUpdateIntervalS = 0.25;

}  // namespace

void LoadCounter::CountRequest(Key key) {
  this->Count(static_cast<std::uint16_t>(key / kKeysPerBucket), 1);
}

void LoadCounter::Add(std::span<const BucketCount> reported) {
  for (const auto& count : reported) {
    if (count.bucket < kBucketCount && count.requests > 0)
      this->Count(count.bucket, count.requests);
  }
}

void LoadCounter::Count(std::uint16_t bucket, std::uint32_t requests) {
  if (this->counts[bucket] == 0) this->used_buckets.push_back(bucket);
  this->counts[bucket] += requests;
}

std::vector<BucketCount> LoadCounter::TakeCounts() {
  std::vector<BucketCount> taken_counts;
  taken_counts.reserve(this->used_buckets.size());
  for (const std::uint16_t bucket : this->used_buckets) {
    taken_counts.push_back({bucket, this->counts[bucket]});
    this->counts[bucket] = 0;
  }
  this->used_buckets.clear();
  return taken_counts;
}

void LoadMap::Add(std::span<const BucketCount> counts) {
  for (const auto& count : counts) {
    if (count.bucket < kBucketCount)
      this->pending_counts[count.bucket] += count.requests;
  }
}

void LoadMap::UpdateRates(kernel::Instant now) {
  if (this->updated_at == kernel::kNever) {
    this->updated_at = now;
    return;
  }
  const double elapsed_s = kernel::ToSeconds(now - this->updated_at);
  if (elapsed_s < kMinUpdateIntervalS) return;
  const double decay = std::exp2(-elapsed_s / kSampleHalfLifeS);
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    const double sample = this->pending_counts[i] / elapsed_s;
    this->rates[i] = this->rates[i] * decay + sample * (1 - decay);
    this->pending_counts[i] = 0;
  }
  this->updated_at = now;
}

double LoadMap::RequestRate(Key first, Key last) const {
  double load = 0;
  const std::uint32_t end = last / kKeysPerBucket;
  for (std::uint32_t bucket = first / kKeysPerBucket; bucket <= end; ++bucket) {
    const std::uint32_t first_key =
        std::max<std::uint32_t>(first, bucket * kKeysPerBucket);
    const std::uint32_t end_key =
        std::min<std::uint32_t>(last + 1U, (bucket + 1) * kKeysPerBucket);
    load += this->rates[bucket] * (end_key - first_key) / kKeysPerBucket;
  }
  return load;
}

Key LoadMap::FindLoadEnd(Key first, Key last, double load) const {
  double accumulated_rate = 0;
  std::uint32_t bucket = first / kKeysPerBucket;
  for (;; ++bucket) {
    const std::uint32_t bucket_last = (bucket + 1) * kKeysPerBucket - 1;
    if (bucket_last >= last) return last;
    const Key from = static_cast<Key>(
        std::max<std::uint32_t>(first, bucket * kKeysPerBucket));
    accumulated_rate += this->RequestRate(from, static_cast<Key>(bucket_last));
    if (accumulated_rate >= load) return static_cast<Key>(bucket_last);
  }
}

}  // namespace chervilmux::ranges
