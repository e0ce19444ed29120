// Guards the subsets of servers that instances prefer. Failures: a server is in
// no subset and gets nothing, subsets are unequal, or a single join or loss
// makes all pairs of instance and server change.

#include "policy/server_subset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace chervilmux::policy {
namespace {

std::vector<std::string> MakeIds(std::size_t count) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i)
    ids.push_back("server-" + std::to_string(i));
  return ids;
}

std::set<std::string> SubsetOf(const std::vector<std::string>& ids,
                               std::size_t index, std::size_t instances) {
  const auto chosen =
      ServerSubset({ids.begin(), ids.end()}, {index, instances});
  return {chosen.begin(), chosen.end()};
}

/// Pairs of one layout that are no pairs of the other.
std::size_t ChangedPairs(const std::vector<std::string>& ids_before,
                         std::size_t instances_before,
                         const std::vector<std::string>& ids_after,
                         std::size_t instances_after) {
  std::size_t changed = 0;
  for (std::size_t i = 0; i < instances_before; ++i) {
    const auto before = SubsetOf(ids_before, i, instances_before);
    for (const auto& id : SubsetOf(ids_after, i, instances_after))
      changed += before.contains(id) ? 0 : 1;
  }
  return changed;
}

}  // namespace

TEST_CASE("instances that prefer subsets of the servers") {
  GIVEN("few servers") {
    THEN("each prefers all of them") {
      CHECK(SubsetOf(MakeIds(8), 2, 3).size() == 8);
      CHECK(SubsetOf({}, 0, 3).empty());
      CHECK(SubsetOf(MakeIds(5), 0, 0).size() == 5);
    }
  }
  GIVEN("many of both") {
    for (const auto& counts : {std::pair<std::size_t, std::size_t>{62, 29},
                               {57, 59},
                               {26, 59},
                               {300, 30},
                               {9, 300}}) {
      const std::size_t servers = counts.first;
      const std::size_t instances = counts.second;
      CAPTURE(servers);
      CAPTURE(instances);
      const auto ids = MakeIds(servers);
      std::map<std::string, std::size_t> subsets_of_server;
      std::size_t size = 0;
      for (std::size_t i = 0; i < instances; ++i) {
        const auto subset = SubsetOf(ids, i, instances);
        size = std::max(size, subset.size());
        for (const auto& id : subset) subsets_of_server[id] += 1;
      }
      THEN("each server is in several and about equally many subsets") {
        CHECK(subsets_of_server.size() == servers);
        const std::size_t mean = size * instances / servers;
        for (const auto& [id, count] : subsets_of_server) {
          CHECK(count >= 3);
          CHECK(count + 2 >= mean);
          CHECK(count <= mean + 2);
        }
      }
    }
    THEN("one more server or instance changes few pairs") {
      const std::size_t pairs = std::size_t{29} * 9;
      CHECK(ChangedPairs(MakeIds(62), 29, MakeIds(63), 29) < pairs / 5);
      CHECK(ChangedPairs(MakeIds(62), 29, MakeIds(62), 30) < pairs / 5);
    }
  }
}

}  // namespace chervilmux::policy
