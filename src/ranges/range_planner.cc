#include "ranges/range_planner.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
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
  /// A total rate below `min_total_load` does not count: all keys weigh the
  /// same.
  explicit RangeWeights(const LoadMap& load, double min_total_load = 0)
      : load(load),
        base_weight_per_key(std::max(1.0, load.TotalRequestRate()) *
                            kIdleKeyLoadShare / kKeyCount),
        load_counts(load.TotalRequestRate() >= min_total_load) {}

  double WeightOf(Key first, Key last) const {
    const double rate =
        this->load_counts ? this->load.RequestRate(first, last) : 0;
    return rate + this->base_weight_per_key * (last - first + 1.0);
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
    // Round to whole buckets: the load within a bucket is unknown. Rounding all
    // runs up would leave nothing for the last servers.
    const auto upper = static_cast<Key>(
        std::min<std::uint32_t>(low | (kKeysPerBucket - 1), last));
    const std::uint32_t bucket_start = low & ~(kKeysPerBucket - 1);
    if (bucket_start <= first) return upper;
    const auto lower = static_cast<Key>(bucket_start - 1);
    const bool lower_is_closer = weight - this->WeightOf(first, lower) <
                                 this->WeightOf(first, upper) - weight;
    return lower_is_closer ? lower : upper;
  }

 private:
  const LoadMap& load;
  /// Weight of a key without load.
  double base_weight_per_key;
  bool load_counts;
};

/// Load of each server after the moves planned so far. Servers are numbered in
/// the order of the planner's input.
class ProjectedLoads {
 public:
  ProjectedLoads(std::span<const PlannerRange> ranges,
                 std::span<const PlannerServer> servers,
                 const RangeWeights& weights) {
    for (const auto& server : servers) {
      this->index_by_id.emplace(server.id, this->capacity.size());
      this->capacity.push_back(std::max(0.01, server.capacity));
      this->total_capacity += this->capacity.back();
    }
    this->projected_load.resize(servers.size());
    for (const auto& range : ranges) {
      const double weight = weights.WeightOf(range.first, range.last);
      this->total_load += weight;
      const auto owner = this->Find(range.owner);
      if (owner && !range.must_move) this->AddLoad(*owner, weight);
    }
  }

  /// Nothing for a server that may not receive keys.
  std::optional<std::size_t> Find(std::string_view id) const {
    const auto found = this->index_by_id.find(id);
    if (found == this->index_by_id.end()) return std::nullopt;
    return found->second;
  }

  void AddLoad(std::size_t server, double weight) {
    this->projected_load[server] += weight;
  }

  double FairShare(std::size_t server) const {
    return this->total_load * this->capacity[server] / this->total_capacity;
  }

  /// Load divided by the fair share of the server.
  double LoadRatio(std::size_t server) const {
    return this->ProjectedRatio(server, 0);
  }

  /// LoadRatio() if `server` received additional keys of this weight.
  double ProjectedRatio(std::size_t server, double weight) const {
    return (this->projected_load[server] + weight) /
           std::max(1e-9, this->FairShare(server));
  }

  double SpareCapacity(std::size_t server) const {
    return this->FairShare(server) - this->projected_load[server];
  }

  /// The weight whose move from one server to the other gives both the same
  /// load ratio.
  double EqualizingWeight(std::size_t from, std::size_t to) const {
    return (this->projected_load[from] * this->capacity[to] -
            this->projected_load[to] * this->capacity[from]) /
           (this->capacity[from] + this->capacity[to]);
  }

  std::size_t LeastLoaded() const {
    return this->LeastLoadedAfter(0, std::nullopt);
  }

  /// Returns the server other than `except` that would have the lowest load
  /// ratio after it received keys of this weight.
  std::size_t LeastLoadedAfter(double weight,
                               std::optional<std::size_t> except) const {
    std::size_t best = 0;
    double best_ratio = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < this->capacity.size(); ++i) {
      const double ratio = this->ProjectedRatio(i, weight);
      if (i == except || ratio >= best_ratio) continue;
      best = i;
      best_ratio = ratio;
    }
    return best;
  }

  /// All servers, the most loaded one first.
  std::vector<std::size_t> DescendingByLoad() const {
    std::vector<std::size_t> order(this->capacity.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, std::greater<>(), [this](std::size_t i) {
      return this->LoadRatio(i);
    });
    return order;
  }

 private:
  std::map<std::string, std::size_t, std::less<>> index_by_id;
  std::vector<double> capacity;
  std::vector<double> projected_load;
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
      const std::size_t target = loads.LeastLoaded();
      // Assign at least a quarter of a fair share per move, so that the range
      // of a lost server is not split into many small ranges.
      const double weight =
          std::max(loads.SpareCapacity(target), loads.FairShare(target) / 4);
      const Key last = weights.FindLastKey(first, range.last, weight);
      moves.push_back({first, last, servers[target].id});
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
/// A server below this load ratio lacks its share and receives keys.
constexpr double kMinLoadRatio = 0.5;
/// A server that lacks its share receives at least this much of it per move,
/// so that its keys are not split into many small ranges.
constexpr double kMinFilledShare = 0.25;
/// Share of the servers that may receive keys at the same time. It bounds the
/// share of the keys that are between two owners.
constexpr double kMaxMovingShare = 0.125;

/// Computes the moves of one balancing plan.
class Balancer {
 public:
  Balancer(std::span<const PlannerRange> ranges,
           std::span<const PlannerServer> servers, const LoadMap& load,
           const PlannerOptions& options)
      : servers(servers),
        load(load),
        options(options),
        min_total_load(options.min_load_per_server *
                       static_cast<double>(servers.size())),
        weights(load, this->min_total_load),
        loads(ranges, servers, this->weights) {
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, servers.size()));
    const double hot_threshold =
        std::max(kHotBucketShare * load.TotalRequestRate() / count,
                 2 * options.min_load_per_server);
    for (const auto& range : ranges)
      this->SplitAtHotBuckets(range, hot_threshold);
  }

  BalancingPlan Plan() {
    BalancingPlan plan;
    if (this->servers.size() < 2) return plan;
    const std::size_t limit = this->MaxMoves();
    while (this->moves.size() < limit) {
      if (!this->FillServer() && !this->ReduceOverload()) break;
    }
    plan.limited = this->moves.size() >= limit;
    plan.moves = std::move(this->moves);
    return plan;
  }

 private:
  struct Segment {
    PlannerRange range;
    /// Number of the owner; nothing if it may not receive keys.
    std::optional<std::size_t> owner;
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
    segment.owner = this->loads.Find(whole.owner);
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
      std::size_t from, std::span<const Segment* const> rejected_segments) {
    Segment* best = nullptr;
    for (auto& segment : this->segments) {
      const bool can_move_segment = segment.owner == from &&
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

  /// Number of moves that may begin now.
  std::size_t MaxMoves() const {
    const auto servers = static_cast<double>(this->servers.size());
    const std::size_t at_once = std::max<std::size_t>(
        this->options.min_moves_at_once,
        static_cast<std::size_t>(kMaxMovingShare * servers));
    return at_once - std::min(at_once, this->options.moves_in_progress);
  }

  /// Moves keys to the server that lacks most of its share, such as a new one,
  /// from the most loaded server that can give some.
  bool FillServer() {
    const std::size_t to = this->loads.LeastLoaded();
    if (this->loads.LoadRatio(to) >= kMinLoadRatio) return false;
    for (const std::size_t from : this->loads.DescendingByLoad()) {
      if (from == to || this->loads.LoadRatio(from) <= 1) return false;
      if (this->FillFrom(from, to)) return true;
    }
    return false;
  }

  bool FillFrom(std::size_t from, std::size_t to) {
    Segment* segment = this->FindHighestLoadPerKey(from, {});
    if (segment == nullptr || segment->is_hot_bucket) return false;
    const double excess = -this->loads.SpareCapacity(from);
    const double smallest = kMinFilledShare * this->loads.FairShare(to);
    const double weight =
        std::min({std::max(excess, smallest), this->loads.SpareCapacity(to),
                  this->loads.EqualizingWeight(from, to)});
    return weight > 0 && this->MovePart(*segment, to, weight);
  }

  /// Moves load off the most loaded server for which a useful move exists.
  bool ReduceOverload() {
    if (this->load.TotalRequestRate() < this->min_total_load) return false;
    for (const std::size_t from : this->loads.DescendingByLoad()) {
      if (this->loads.LoadRatio(from) <= this->options.overload_ratio)
        return false;
      if (this->OffloadServer(from)) return true;
    }
    return false;
  }

  bool OffloadServer(std::size_t from) {
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
    const std::size_t from = *segment.owner;
    const std::size_t to = this->loads.LeastLoadedAfter(segment.weight, from);
    const double projected_ratio =
        this->loads.ProjectedRatio(to, segment.weight);
    if (projected_ratio > kMaxRatioAfterHotMove * this->loads.LoadRatio(from))
      return false;
    this->Move(segment, segment.range.last, to);
    return true;
  }

  bool MoveExcessLoad(Segment& segment) {
    const std::size_t from = *segment.owner;
    const std::size_t to = this->loads.LeastLoaded();
    if (from == to) return false;
    const double excess = std::min(-this->loads.SpareCapacity(from),
                                   this->loads.SpareCapacity(to));
    return excess > 0 && this->MovePart(segment, to, excess);
  }

  /// Moves keys that weigh about `weight` from the start of `segment`.
  bool MovePart(Segment& segment, std::size_t to, double weight) {
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

  void Move(Segment& segment, Key last, std::size_t to) {
    const double weight = this->weights.WeightOf(segment.range.first, last);
    this->moves.push_back({segment.range.first, last, this->servers[to].id});
    this->loads.AddLoad(*segment.owner, -weight);
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
  double min_total_load;
  RangeWeights weights;
  ProjectedLoads loads;
  std::vector<Segment> segments;
  std::vector<PlannedMove> moves;
};

}  // namespace

BalancingPlan PlanBalancingMoves(std::span<const PlannerRange> ranges,
                                 std::span<const PlannerServer> servers,
                                 const LoadMap& load,
                                 const PlannerOptions& options) {
  return Balancer(ranges, servers, load, options).Plan();
}

}  // namespace chervilmux::ranges
