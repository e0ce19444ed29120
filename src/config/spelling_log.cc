#include "config/spelling_log.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/names.h"

namespace chervilmux::config {

void SpellingLog::Note(std::string_view spelling) {
  std::string normal = NormalizeName(spelling.substr(0, kMaxNameBytes));
  const auto found = this->cells.find(normal);
  if (found != this->cells.end()) {
    found->second.count += 1;
    return;
  }
  if (this->cells.size() < this->capacity) {
    this->cells.emplace(std::move(normal), Cell{1, 0});
    return;
  }
  const auto rarest = std::ranges::min_element(
      this->cells, {}, [](const auto& entry) { return entry.second.count; });
  const std::uint64_t floor = rarest->second.count;
  this->cells.erase(rarest);
  this->cells.emplace(std::move(normal), Cell{floor + 1, floor});
}

std::vector<SpellingCount> SpellingLog::Ranked() const {
  std::vector<SpellingCount> ranked;
  for (const auto& [spelling, cell] : this->cells) {
    ranked.push_back({spelling, cell.count, cell.error});
  }
  std::ranges::sort(ranked, [](const auto& left, const auto& right) {
    return std::tuple(right.count, left.spelling) <
           std::tuple(left.count, right.spelling);
  });
  return ranked;
}

}  // namespace chervilmux::config
