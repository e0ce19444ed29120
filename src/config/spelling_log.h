/// \file
/// Defines the count of unknown spellings in bounded memory.
///
/// A space-saving sketch: when full, the rarest spelling gives its place to a
/// new one and its count becomes that one's possible error. Frequent spellings
/// are therefore never lost, however many different ones come in.

#ifndef CHERVILMUX_CONFIG_SPELLING_LOG_H_
#define CHERVILMUX_CONFIG_SPELLING_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilmux::config {

struct SpellingCount {
  std::string spelling;
  std::uint64_t count = 0;  ///< Upper bound of the true count.
  std::uint64_t error = 0;  ///< The true count is at least count - error.
};

class SpellingLog {
 public:
  explicit SpellingLog(std::size_t capacity) : capacity(capacity) {}

  /// Counts one request that used `spelling`.
  void Note(std::string_view spelling);

  /// All spellings held, most frequent first.
  std::vector<SpellingCount> Ranked() const;

 private:
  struct Cell {
    std::uint64_t count = 0;
    std::uint64_t error = 0;
  };

  std::size_t capacity;
  std::unordered_map<std::string, Cell> cells;
};

}  // namespace chervilmux::config

#endif  // CHERVILMUX_CONFIG_SPELLING_LOG_H_
