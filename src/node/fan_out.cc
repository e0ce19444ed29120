#include "node/fan_out.h"

#include <algorithm>
#include <utility>

namespace chervilmux::node {

FanOutTree::FanOutTree(std::vector<std::string> names, std::string_view root)
    : names(std::move(names)),
      root_index(static_cast<std::size_t>(std::ranges::find(this->names, root) -
                                          this->names.begin())) {}

std::vector<std::string> FanOutTree::Children(std::string_view name) const {
  std::vector<std::string> children;
  const std::size_t count = this->names.size();
  const auto found = std::ranges::lower_bound(this->names, name);
  const bool listed = found != this->names.end() && *found == name;
  if (!listed || this->root_index >= count) return children;
  const auto index = static_cast<std::size_t>(found - this->names.begin());
  // Positions count from the root, which has position 0.
  const std::size_t position = (index + count - this->root_index) % count;
  for (std::size_t i = 1; i <= kDegree; ++i) {
    const std::size_t child = position * kDegree + i;
    if (child >= count) break;
    children.push_back(this->names[(child + this->root_index) % count]);
  }
  return children;
}

}  // namespace chervilmux::node
