#include "config/names.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilmux::config {

std::string NormalizeName(std::string_view spelling) {
  std::string normal;
  for (char c : spelling) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    const bool separator = c == ' ' || c == '.' || c == '_' || c == '-';
    if (!separator) {
      normal.push_back(c);
    } else if (!normal.empty() && normal.back() != '-') {
      normal.push_back('-');
    }
  }
  if (!normal.empty() && normal.back() == '-') normal.pop_back();
  return normal;
}

std::size_t EditDistance(std::string_view left, std::string_view right) {
  const std::size_t columns = right.size() + 1;
  std::vector<std::size_t> before_last(columns);
  std::vector<std::size_t> last(columns);
  std::vector<std::size_t> row(columns);
  for (std::size_t j = 0; j < columns; ++j) last[j] = j;
  for (std::size_t i = 1; i <= left.size(); ++i) {
    row[0] = i;
    for (std::size_t j = 1; j < columns; ++j) {
      const bool same = left[i - 1] == right[j - 1];
      row[j] =
          std::min({last[j] + 1, row[j - 1] + 1, last[j - 1] + (same ? 0 : 1)});
      const bool swapped = i > 1 && j > 1 && left[i - 1] == right[j - 2] &&
                           left[i - 2] == right[j - 1];
      if (swapped) row[j] = std::min(row[j], before_last[j - 2] + 1);
    }
    std::swap(before_last, last);
    std::swap(last, row);
  }
  return last[columns - 1];
}

kernel::Result<void> NameTable::Add(std::string_view spelling,
                                    std::string_view service) {
  std::string normal = NormalizeName(spelling);
  if (normal.empty() || normal.size() > kMaxNameBytes) {
    return kernel::Fail(kernel::ErrorKind::kManifestInvalid,
                        "'" + std::string(spelling) + "' is not a usable name");
  }
  const auto [entry, added] =
      this->services.emplace(std::move(normal), std::string(service));
  if (added || entry->second == service) return kernel::Ok();
  return kernel::Fail(kernel::ErrorKind::kManifestInvalid,
                      "'" + std::string(spelling) +
                          "' already leads to service '" + entry->second + "'");
}

std::string_view NameTable::Find(std::string_view spelling) const {
  const auto found = this->services.find(NormalizeName(spelling));
  return found == this->services.end() ? std::string_view() : found->second;
}

std::vector<std::string> NameTable::Suggest(std::string_view spelling,
                                            std::size_t count) const {
  const std::string normal = NormalizeName(spelling.substr(0, kMaxNameBytes));
  std::vector<std::pair<std::size_t, std::string_view>> ranked;
  for (const auto& [known, service] : this->services) {
    const std::size_t distance = EditDistance(normal, known);
    if (2 * distance > std::max(normal.size(), known.size())) continue;
    ranked.emplace_back(distance, service);
  }
  std::ranges::sort(ranked);
  std::vector<std::string> suggestions;
  std::set<std::string_view> taken;
  for (const auto& [distance, service] : ranked) {
    if (suggestions.size() == count) break;
    if (taken.insert(service).second) suggestions.emplace_back(service);
  }
  return suggestions;
}

}  // namespace chervilmux::config
