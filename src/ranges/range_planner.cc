#include "ranges/range_planner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace chervilmux::ranges {
namespace {

/// Each key counts as this share of the mean load, so that keys without
/// requests are dealt out evenly too.
constexpr double kIdleShare = 0.3;

/// The load of ranges, with a floor for keys that get no requests now.
class Weights {
 public:
  explicit Weights(const LoadMap& load)
      : load(load),
        per_key(std::max(1.0, load.TotalRequestRate()) * kIdleShare /
                kKeyCount) {}

  double Of(Key first, Key last) const {
    return this->load.RequestRate(first, last) +
           this->per_key * (last - first + 1.0);
  }

  /// Last key of a run from `first` that weighs about `weight`.
  Key EndOf(Key first, Key last, double weight) const {
    std::uint32_t low = first;
    std::uint32_t high = last;
    while (low < high) {
      const std::uint32_t middle = (low + high) / 2;
      if (this->Of(first, static_cast<Key>(middle)) >= weight) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    // Whole buckets: a finer cut could not be told apart by load.
    const std::uint32_t rounded = low | (kKeysPerBucket - 1);
    return static_cast<Key>(std::min<std::uint32_t>(rounded, last));
  }

 private:
  const LoadMap& load;
  double per_key;
};

/// What each server carries while the plan is made.
class Shares {
 public:
  Shares(std::span<const PlannerRange> ranges,
         std::span<const PlannerServer> servers, const Weights& weights) {
    for (const auto& server : servers) {
      this->capacity[server.id] = std::max(0.01, server.capacity);
      this->total_capacity += std::max(0.01, server.capacity);
      this->carried[server.id] = 0;
    }
    for (const auto& range : ranges) {
      const double weight = weights.Of(range.first, range.last);
      this->total += weight;
      if (!range.must_move) this->Add(range.owner, weight);
    }
  }

  void Add(const std::string& id, double weight) {
    const auto found = this->carried.find(id);
    if (found != this->carried.end()) found->second += weight;
  }

  double Fair(const std::string& id) const {
    return this->total * this->capacity.at(id) / this->total_capacity;
  }

  /// Load over fair load.
  double Ratio(const std::string& id) const { return this->RatioWith(id, 0); }

  /// The same if `id` carried `weight` more.
  double RatioWith(const std::string& id, double weight) const {
    return (this->carried.at(id) + weight) / std::max(1e-9, this->Fair(id));
  }

  double Room(const std::string& id) const {
    return this->Fair(id) - this->carried.at(id);
  }

  std::string Least() const { return this->LeastWith(0, ""); }
  std::string Most() const { return this->MostFirst().front(); }

  /// The server other than `except` that would be the least loaded one with
  /// `weight` more.
  std::string LeastWith(double weight, std::string_view except) const {
    std::string best;
    for (const auto& [id, carried_now] : this->carried) {
      if (id == except) continue;
      const bool better = best.empty() || this->RatioWith(id, weight) <
                                              this->RatioWith(best, weight);
      if (better) best = id;
    }
    return best;
  }

  /// All servers, the most loaded one first.
  std::vector<std::string> MostFirst() const {
    std::vector<std::string> ids;
    for (const auto& [id, carried_now] : this->carried) ids.push_back(id);
    std::ranges::stable_sort(ids, std::greater<>(), [this](const auto& id) {
      return this->Ratio(id);
    });
    return ids;
  }

 private:
  std::map<std::string, double> capacity;
  std::map<std::string, double> carried;
  double total = 0;
  double total_capacity = 0;
};

}  // namespace

std::vector<PlannedMove> PlanRequiredMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load) {
  std::vector<PlannedMove> moves;
  if (servers.empty()) return moves;
  const Weights weights(load);
  Shares shares(ranges, servers, weights);
  for (const auto& range : ranges) {
    if (!range.owner.empty() && !range.must_move) continue;
    std::uint32_t next = range.first;
    while (next <= range.last) {
      const Key first = static_cast<Key>(next);
      const std::string target = shares.Least();
      // At least a quarter of a fair share each, so that a range of a lost
      // server does not fall into crumbs.
      const double piece =
          std::max(shares.Room(target), shares.Fair(target) / 4);
      const Key last = weights.EndOf(first, range.last, piece);
      moves.push_back({first, last, target});
      shares.Add(target, weights.Of(first, last));
      next = last + 1U;
    }
  }
  return moves;
}

namespace {

/// Keys are cut apart from the others of their server when one bucket of them
/// weighs more than this share of the mean server's fair load.
constexpr double kHotShare = 0.5;
/// A hot bucket moves if its new server will then be loaded less than this
/// share of what its old one is now.
constexpr double kWorthMoving = 0.85;

/// Makes the moves of one plan for balance.
class Balancer {
 public:
  Balancer(std::span<const PlannerRange> ranges,
           std::span<const PlannerServer> servers, const LoadMap& load,
           const PlannerTuning& tuning)
      : servers(servers),
        load(load),
        tuning(tuning),
        weights(load),
        shares(ranges, servers, this->weights) {
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, servers.size()));
    const double hot = std::max(kHotShare * load.TotalRequestRate() / count,
                                tuning.least_load / 2);
    for (const auto& range : ranges) this->CutAtHotBuckets(range, hot);
  }

  std::vector<PlannedMove> Plan() {
    if (this->servers.size() < 2) return {};
    while (this->moves.size() < this->tuning.most_balance_moves) {
      if (!this->FillEmptyServer() && !this->RelieveSomebody()) break;
    }
    return std::move(this->moves);
  }

 private:
  struct Unit {
    PlannerRange range;
    bool hot = false;  ///< One bucket, which cannot be divided.
    double weight = 0;

    double Density() const {
      return this->weight / (this->range.last - this->range.first + 1.0);
    }
  };

  void AddUnit(const PlannerRange& whole, std::uint32_t first,
               std::uint32_t last, bool hot) {
    Unit& unit = this->units.emplace_back();
    unit.range = whole;
    unit.range.first = static_cast<Key>(first);
    unit.range.last = static_cast<Key>(last);
    unit.hot = hot;
    unit.weight = this->weights.Of(unit.range.first, unit.range.last);
  }

  /// `hot`: requests a second from which a bucket stands alone.
  void CutAtHotBuckets(const PlannerRange& range, double hot) {
    std::uint32_t next = range.first;
    for (std::uint32_t begin = range.first; begin <= range.last;) {
      const std::uint32_t end =
          std::min<std::uint32_t>(begin | (kKeysPerBucket - 1), range.last);
      const double bucket = this->load.RequestRate(static_cast<Key>(begin),
                                                   static_cast<Key>(end));
      if (bucket > hot) {
        if (begin > next) this->AddUnit(range, next, begin - 1, false);
        this->AddUnit(range, begin, end, true);
        next = end + 1;
      }
      begin = end + 1;
    }
    if (next <= range.last) this->AddUnit(range, next, range.last, false);
  }

  /// The unit of `from` that carries the most on the fewest keys, and has not
  /// been passed over.
  Unit* Densest(const std::string& from, std::span<const Unit* const> passed) {
    Unit* best = nullptr;
    for (auto& unit : this->units) {
      const bool movable = unit.range.owner == from && unit.range.can_move &&
                           !unit.range.must_move;
      if (!movable || std::ranges::find(passed, &unit) != passed.end()) {
        continue;
      }
      if (best == nullptr || unit.Density() > best->Density()) best = &unit;
    }
    return best;
  }

  /// A server that has just joined is filled up to its fair share.
  bool FillEmptyServer() {
    const std::string to = this->shares.Least();
    const std::string from = this->shares.Most();
    if (from == to || this->shares.Ratio(to) >= 0.01) return false;
    Unit* unit = this->Densest(from, {});
    if (unit == nullptr || unit->hot) return false;
    const double wanted =
        std::min(-this->shares.Room(from) + this->shares.Fair(to),
                 this->shares.Room(to));
    return wanted > 0 && this->MovePart(*unit, to, wanted);
  }

  /// Moves something off the most loaded server that can be helped.
  bool RelieveSomebody() {
    if (this->load.TotalRequestRate() < this->tuning.least_load) return false;
    for (const auto& from : this->shares.MostFirst()) {
      if (this->shares.Ratio(from) <= this->tuning.relieve_above) return false;
      if (this->Relieve(from)) return true;
    }
    return false;
  }

  bool Relieve(const std::string& from) {
    std::vector<const Unit*> passed;
    while (Unit* unit = this->Densest(from, passed)) {
      if (unit->hot ? this->MoveHot(*unit) : this->MoveExcess(*unit)) {
        return true;
      }
      passed.push_back(unit);
    }
    return false;
  }

  /// A hot bucket goes where it weighs least: to a quick server.
  bool MoveHot(Unit& unit) {
    const std::string from = unit.range.owner;
    const std::string to = this->shares.LeastWith(unit.weight, from);
    const double after = this->shares.RatioWith(to, unit.weight);
    if (after > kWorthMoving * this->shares.Ratio(from)) return false;
    this->Move(unit, unit.range.last, to);
    return true;
  }

  bool MoveExcess(Unit& unit) {
    const std::string from = unit.range.owner;
    const std::string to = this->shares.Least();
    if (from == to) return false;
    const double excess =
        std::min(-this->shares.Room(from), this->shares.Room(to));
    return excess > 0 && this->MovePart(unit, to, excess);
  }

  /// Moves keys that weigh about `weight` from the front of `unit`.
  bool MovePart(Unit& unit, const std::string& to, double weight) {
    const Key last =
        this->weights.EndOf(unit.range.first, unit.range.last, weight);
    const double moved = this->weights.Of(unit.range.first, last);
    // What would only exchange the parts of the two servers stays.
    if (moved > 1.5 * weight && moved > this->shares.Room(to)) return false;
    this->Move(unit, last, to);
    return true;
  }

  void Move(Unit& unit, Key last, const std::string& to) {
    const double weight = this->weights.Of(unit.range.first, last);
    this->moves.push_back({unit.range.first, last, to});
    this->shares.Add(unit.range.owner, -weight);
    this->shares.Add(to, weight);
    if (last >= unit.range.last) {
      unit.range.can_move = false;
    } else {
      unit.range.first = static_cast<Key>(last + 1);
      unit.weight -= weight;
    }
  }

  std::span<const PlannerServer> servers;
  const LoadMap& load;
  const PlannerTuning& tuning;
  Weights weights;
  Shares shares;
  std::vector<Unit> units;
  std::vector<PlannedMove> moves;
};

}  // namespace

std::vector<PlannedMove> PlanBalancingMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load,
    const PlannerTuning& tuning) {
  return Balancer(ranges, servers, load, tuning).Plan();
}

}  // namespace chervilmux::ranges
