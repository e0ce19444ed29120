// placement-balance: imbalance and churn of placement against baselines of our
// own (modulo, rendezvous without weights), as JSON.

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "ownership/placement.h"

namespace chervilmux::performance {
namespace {

constexpr std::size_t kKeys = 200'000;
constexpr double kZipfExponent = 1.0;

ownership::CellRow MakeRow(std::size_t servers, bool weighted) {
  ownership::CellRow row;
  for (std::size_t i = 0; i < servers; ++i) {
    const double weight = weighted && i % 2 == 1 ? 2.0 : 1.0;
    row.servers.push_back({"server-" + std::to_string(100'000 + i),
                           ownership::ServerState::kIn, weight});
  }
  return row;
}

using Owner = std::function<std::string(std::uint64_t)>;

Owner Rendezvous(const ownership::CellRow& row) {
  return [placement = ownership::Placement(row)](std::uint64_t hash) {
    return std::string(placement.OwnerOf(hash));
  };
}

Owner Modulo(const ownership::CellRow& row) {
  std::vector<std::string> in;
  for (const auto& server : row.servers) {
    if (server.state == ownership::ServerState::kIn) in.push_back(server.name);
  }
  return [in](std::uint64_t hash) { return in[hash % in.size()]; };
}

struct Balance {
  double max_over_mean = 0;
  double variation = 0;
};

/// Load relative to each server's weight.
Balance Measure(const ownership::CellRow& row, const Owner& owner,
                const std::vector<double>& load) {
  std::map<std::string, double> sums;
  for (const auto& server : row.servers) sums[server.name] = 0;
  for (std::size_t key = 0; key < load.size(); ++key) {
    const std::uint64_t hash = ownership::HashKey(std::to_string(key));
    sums[owner(hash)] += load[key];
  }
  double total = 0;
  double squares = 0;
  double most = 0;
  for (const auto& server : row.servers) {
    const double relative = sums[server.name] / server.weight;
    total += relative;
    squares += relative * relative;
    most = std::max(most, relative);
  }
  const auto count = static_cast<double>(row.servers.size());
  const double mean = total / count;
  return {most / mean,
          std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean};
}

/// Moved keys over the fewest that had to move when one server is lost.
double ChurnOfLoss(
    std::size_t servers, bool weighted,
    const std::function<Owner(const ownership::CellRow&)>& make) {
  const ownership::CellRow before = MakeRow(servers, weighted);
  ownership::CellRow after = before;
  after.servers[0].state = ownership::ServerState::kOut;
  const Owner old_owner = make(before);
  const Owner new_owner = make(after);
  std::size_t moved = 0;
  std::size_t had_to = 0;
  for (std::size_t key = 0; key < kKeys; ++key) {
    const std::uint64_t hash = ownership::HashKey(std::to_string(key));
    const std::string owner = old_owner(hash);
    if (owner == before.servers[0].name) had_to += 1;
    if (owner != new_owner(hash)) moved += 1;
  }
  return static_cast<double>(moved) / static_cast<double>(had_to);
}

void Print(std::size_t servers, const char* load_name, const char* method,
           const Balance& balance, double churn, bool first) {
  std::printf(
      "%s  {\"servers\": %zu, \"load\": \"%s\", \"method\": \"%s\", "
      "\"max_over_mean\": %.3f, \"variation\": %.3f, "
      "\"churn_over_minimum\": %.3f}",
      first ? "" : ",\n", servers, load_name, method, balance.max_over_mean,
      balance.variation, churn);
}

}  // namespace

int Main() {
  std::vector<double> uniform(kKeys, 1.0);
  std::vector<double> zipf(kKeys);
  for (std::size_t i = 0; i < kKeys; ++i) {
    zipf[i] = std::pow(static_cast<double>(i + 1), -kZipfExponent);
  }
  struct Method {
    const char* name;
    bool weighted;
    Owner (*make)(const ownership::CellRow&);
  };
  constexpr Method kMethods[] = {{"weighted rendezvous", true, &Rendezvous},
                                 {"rendezvous", false, &Rendezvous},
                                 {"modulo", false, &Modulo}};
  std::printf("[\n");
  bool first = true;
  for (const std::size_t servers : {6U, 13U, 16U, 1000U}) {
    for (const auto& method : kMethods) {
      const auto row = MakeRow(servers, method.weighted);
      const double churn = ChurnOfLoss(servers, method.weighted, method.make);
      const Owner owner = method.make(row);
      Print(servers, "uniform", method.name, Measure(row, owner, uniform),
            churn, first);
      Print(servers, "zipf", method.name, Measure(row, owner, zipf), churn,
            false);
      first = false;
    }
  }
  std::printf("\n]\n");
  return 0;
}

}  // namespace chervilmux::performance

int main() { return chervilmux::performance::Main(); }
