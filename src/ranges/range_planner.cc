#include "ranges/range_planner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace chervilmux::ranges {
namespace {

/// Share of the mean load per key that is added to the weight of every key, so
/// that keys without requests are distributed evenly too.
constexpr double kIdleKeyLoadShare = 0.3;

/// Weight of key ranges: the load plus a minimum weight per key.
class RangeWeights {
 public:
  explicit RangeWeights(const LoadMap& load)
      : load(load),
        base_weight_per_key(std::max(1.0, load.TotalRequestRate()) *
                            kIdleKeyLoadShare / kKeyCount) {}

  double WeightOf(Key first, Key last) const {
    return this->load.RequestRate(first, last) +
           this->base_weight_per_key * (last - first + 1.0);
  }

  /// Returns the last key of a run from `first` that weighs about `weight`.
  Key FindLastKey(Key first, Key last, double weight) const {
    std::uint32_t low = first;
    std::uint32_t high = last;
    while (low < high) {
      const std::uint32_t middle = (low + high) / 2;
      if (this->WeightOf(first, static_cast<Key>(middle)) >= weight) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    // Round up to whole buckets: the load within a bucket is unknown.
    const std::uint32_t rounded = low | (kKeysPerBucket - 1);
    return static_cast<Key>(std::min<std::uint32_t>(rounded, last));
  }

 private:
  const LoadMap& load;
  /// Weight of a key without load.
  double base_weight_per_key;
};

/// Load of each server after the moves planned so far.
class ProjectedLoads {
 public:
  ProjectedLoads(std::span<const PlannerRange> ranges,
                 std::span<const PlannerServer> servers,
                 const RangeWeights& weights) {
    for (const auto& server : servers) {
      this->capacity[server.id] = std::max(0.01, server.capacity);
      this->total_capacity += std::max(0.01, server.capacity);
      this->projected_load[server.id] = 0;
    }
    for (const auto& range : ranges) {
      const double weight = weights.WeightOf(range.first, range.last);
      this->total_load += weight;
      if (!range.must_move) this->AddLoad(range.owner, weight);
    }
  }

  void AddLoad(const std::string& id, double weight) {
    const auto found = this->projected_load.find(id);
    if (found != this->projected_load.end()) found->second += weight;
  }

  double FairShare(const std::string& id) const {
    return this->total_load * this->capacity.at(id) / this->total_capacity;
  }

  /// Load divided by the fair share of the server.
  double LoadRatio(const std::string& id) const {
    return this->ProjectedRatio(id, 0);
  }

  /// LoadRatio() if `id` received additional keys of this weight.
  double ProjectedRatio(const std::string& id, double weight) const {
    return (this->projected_load.at(id) + weight) /
           std::max(1e-9, this->FairShare(id));
  }

  double SpareCapacity(const std::string& id) const {
    return this->FairShare(id) - this->projected_load.at(id);
  }

  std::string LeastLoaded() const { return this->LeastLoadedAfter(0, ""); }
  std::string MostLoaded() const { return this->DescendingByLoad().front(); }

  /// Returns the server other than `except` that would have the lowest load
  /// ratio after it received keys of this weight.
  std::string LeastLoadedAfter(double weight, std::string_view except) const {
    std::string best;
    for (const auto& [id, current_load] : this->projected_load) {
      if (id == except) continue;
      const bool replaces_best =
          best.empty() ||
          this->ProjectedRatio(id, weight) < this->ProjectedRatio(best, weight);
      if (replaces_best) best = id;
    }
    return best;
  }

  /// All servers, the most loaded one first.
  std::vector<std::string> DescendingByLoad() const {
    std::vector<std::string> ids;
    for (const auto& [id, current_load] : this->projected_load)
      ids.push_back(id);
    std::ranges::stable_sort(ids, std::greater<>(), [this](const auto& id) {
      return this->LoadRatio(id);
    });
    return ids;
  }

 private:
  std::map<std::string, double> capacity;
  std::map<std::string, double> projected_load;
  double total_load = 0;
  double total_capacity = 0;
};

}  // namespace

std::vector<PlannedMove> PlanRequiredMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load) {
  std::vector<PlannedMove> moves;
  if (servers.empty()) return moves;
  const RangeWeights weights(load);
  ProjectedLoads loads(ranges, servers, weights);
  for (const auto& range : ranges) {
    if (!range.owner.empty() && !range.must_move) continue;
    std::uint32_t next = range.first;
    while (next <= range.last) {
      const Key first = static_cast<Key>(next);
      const std::string target = loads.LeastLoaded();
      // Assign at least a quarter of a fair share per move, so that the range
      // of a lost server is not split into many small ranges.
      const double weight =
          std::max(loads.SpareCapacity(target), loads.FairShare(target) / 4);
      const Key last = weights.FindLastKey(first, range.last, weight);
      moves.push_back({first, last, target});
      loads.AddLoad(target, weights.WeightOf(first, last));
      next = last + 1U;
    }
  }
  return moves;
}

namespace {

/// A bucket is hot, and moves separately from other keys, if its load exceeds
/// this share of the mean load per server.
constexpr double kHotBucketShare = 0.5;
/// A hot bucket moves only if the load ratio of its new server will be at most
/// this share of the current load ratio of its old one.
constexpr double kMaxRatioAfterHotMove = 0.85;

/// Computes the moves of one balancing plan.
class Balancer {
 public:
  Balancer(std::span<const PlannerRange> ranges,
           std::span<const PlannerServer> servers, const LoadMap& load,
           const PlannerOptions& options)
      : servers(servers),
        load(load),
        options(options),
        weights(load),
        loads(ranges, servers, this->weights) {
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, servers.size()));
    const double hot_threshold =
        std::max(kHotBucketShare * load.TotalRequestRate() / count,
                 options.min_total_load / 2);
    for (const auto& range : ranges)
      this->SplitAtHotBuckets(range, hot_threshold);
  }

  std::vector<PlannedMove> Plan() {
    if (this->servers.size() < 2) return {};
    while (this->moves.size() < this->options.max_balancing_moves) {
      if (!this->FillEmptyServer() && !this->ReduceOverload()) break;
    }
    return std::move(this->moves);
  }

 private:
  struct Segment {
    PlannerRange range;
    /// The segment is one hot bucket, which is not split further.
    bool is_hot_bucket = false;
    double weight = 0;

    double Density() const {
      return this->weight / (this->range.last - this->range.first + 1.0);
    }
  };

  void AddSegment(const PlannerRange& whole, std::uint32_t first,
                  std::uint32_t last, bool is_hot_bucket) {
    Segment& segment = this->segments.emplace_back();
    segment.range = whole;
    segment.range.first = static_cast<Key>(first);
    segment.range.last = static_cast<Key>(last);
    segment.is_hot_bucket = is_hot_bucket;
    segment.weight =
        this->weights.WeightOf(segment.range.first, segment.range.last);
  }

  /// Splits `range` into segments; a bucket above `hot_threshold` requests per
  /// second becomes a segment of its own.
  void SplitAtHotBuckets(const PlannerRange& range, double hot_threshold) {
    std::uint32_t next = range.first;
    for (std::uint32_t begin = range.first; begin <= range.last;) {
      const std::uint32_t end =
          std::min<std::uint32_t>(begin | (kKeysPerBucket - 1), range.last);
      const double bucket_rate = this->load.RequestRate(static_cast<Key>(begin),
                                                        static_cast<Key>(end));
      if (bucket_rate > hot_threshold) {
        if (begin > next) this->AddSegment(range, next, begin - 1, false);
        this->AddSegment(range, begin, end, true);
        next = end + 1;
      }
      begin = end + 1;
    }
    if (next <= range.last) this->AddSegment(range, next, range.last, false);
  }

  /// Returns the movable segment of `from` with the highest weight per key that
  /// is not in `rejected_segments`.
  Segment* FindHighestLoadPerKey(
      const std::string& from,
      std::span<const Segment* const> rejected_segments) {
    Segment* best = nullptr;
    for (auto& segment : this->segments) {
      const bool can_move_segment = segment.range.owner == from &&
                                    segment.range.can_move &&
                                    !segment.range.must_move;
      if (!can_move_segment || std::ranges::find(rejected_segments, &segment) !=
                                   rejected_segments.end()) {
        continue;
      }
      if (best == nullptr || segment.Density() > best->Density())
        best = &segment;
    }
    return best;
  }

  /// Moves keys to a server without load, such as a new one, up to its fair
  /// share.
  bool FillEmptyServer() {
    const std::string to = this->loads.LeastLoaded();
    const std::string from = this->loads.MostLoaded();
    if (from == to || this->loads.LoadRatio(to) >= 0.01) return false;
    Segment* segment = this->FindHighestLoadPerKey(from, {});
    if (segment == nullptr || segment->is_hot_bucket) return false;
    const double weight_to_move =
        std::min(-this->loads.SpareCapacity(from) + this->loads.FairShare(to),
                 this->loads.SpareCapacity(to));
    return weight_to_move > 0 && this->MovePart(*segment, to, weight_to_move);
  }

  /// Moves load off the most loaded server for which a useful move exists.
  bool ReduceOverload() {
    if (this->load.TotalRequestRate() < this->options.min_total_load)
      return false;
    for (const auto& from : this->loads.DescendingByLoad()) {
      if (this->loads.LoadRatio(from) <= this->options.overload_ratio)
        return false;
      if (this->OffloadServer(from)) return true;
    }
    return false;
  }

  bool OffloadServer(const std::string& from) {
    std::vector<const Segment*> rejected_segments;
    while (Segment* segment =
               this->FindHighestLoadPerKey(from, rejected_segments)) {
      if (segment->is_hot_bucket ? this->MoveHotBucket(*segment)
                                 : this->MoveExcessLoad(*segment)) {
        return true;
      }
      rejected_segments.push_back(segment);
    }
    return false;
  }

  /// Moves a hot bucket to the server with the lowest projected load ratio,
  /// which is usually a fast server.
  bool MoveHotBucket(Segment& segment) {
    const std::string from = segment.range.owner;
    const std::string to = this->loads.LeastLoadedAfter(segment.weight, from);
    const double projected_ratio =
        this->loads.ProjectedRatio(to, segment.weight);
    if (projected_ratio > kMaxRatioAfterHotMove * this->loads.LoadRatio(from))
      return false;
    this->Move(segment, segment.range.last, to);
    return true;
  }

  bool MoveExcessLoad(Segment& segment) {
    const std::string from = segment.range.owner;
    const std::string to = this->loads.LeastLoaded();
    if (from == to) return false;
    const double excess = std::min(-this->loads.SpareCapacity(from),
                                   this->loads.SpareCapacity(to));
    return excess > 0 && this->MovePart(segment, to, excess);
  }

  /// Moves keys that weigh about `weight` from the start of `segment`.
  bool MovePart(Segment& segment, const std::string& to, double weight) {
    const Key last = this->weights.FindLastKey(segment.range.first,
                                               segment.range.last, weight);
    const double moved_weight =
        this->weights.WeightOf(segment.range.first, last);
    // Skip moves that would only swap the loads of the two servers.
    if (moved_weight > 1.5 * weight &&
        moved_weight > this->loads.SpareCapacity(to))
      return false;
    this->Move(segment, last, to);
    return true;
  }

  void Move(Segment& segment, Key last, const std::string& to) {
    const double weight = this->weights.WeightOf(segment.range.first, last);
    this->moves.push_back({segment.range.first, last, to});
    this->loads.AddLoad(segment.range.owner, -weight);
    this->loads.AddLoad(to, weight);
    if (last >= segment.range.last) {
      segment.range.can_move = false;
    } else {
      segment.range.first = static_cast<Key>(last + 1);
      segment.weight -= weight;
    }
  }

  std::span<const PlannerServer> servers;
  const LoadMap& load;
  const PlannerOptions& options;
  RangeWeights weights;
  ProjectedLoads loads;
  std::vector<Segment> segments;
  std::vector<PlannedMove> moves;
};

}  // namespace

std::vector<PlannedMove> PlanBalancingMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load,
    const PlannerOptions& options) {
  return Balancer(ranges, servers, load, options).Plan();
}

}  // namespace chervilmux::ranges
