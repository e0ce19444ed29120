// Guards the spreading of changes of owners against two failures: an instance
// gets no copy, or the copies that one instance sends grow with their number.

#include "node/fan_out.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace chervilmux::node {
namespace {

/// Names in ascending order.
std::vector<std::string> MakeNames(unsigned count) {
  std::vector<std::string> names;
  constexpr unsigned kFirstNumber = 100000;
  for (unsigned i = 0; i < count; ++i)
    names.push_back(std::to_string(kFirstNumber + i));
  return names;
}

}  // namespace

TEST_CASE("a message reaches every instance once in a few steps") {
  for (const unsigned count : {1U, 2U, 8U, 80U, 300U, 17000U}) {
    CAPTURE(count);
    const auto names = MakeNames(count);
    const std::string& root = names[count / 3];
    const FanOutTree tree(names, root);
    std::map<std::string, int> copies;
    std::vector<std::string> reached = {root};
    unsigned steps = 0;
    while (!reached.empty()) {
      std::vector<std::string> next;
      for (const auto& name : reached) {
        const auto children = tree.Children(name);
        CHECK(children.size() <= FanOutTree::kDegree);
        for (const auto& child : children) {
          copies[child] += 1;
          next.push_back(child);
        }
      }
      if (!next.empty()) steps += 1;
      reached = std::move(next);
    }
    CHECK(copies.size() == count - 1);
    for (const auto& [name, number] : copies) CHECK(number == 1);
    CHECK(steps <= 5);
  }
}

TEST_CASE("an unknown sender or receiver passes nothing on") {
  const FanOutTree tree(MakeNames(20), "unknown");
  CHECK(tree.Children("100000").empty());
  CHECK(FanOutTree(MakeNames(20), "100000").Children("unknown").empty());
}

}  // namespace chervilmux::node
