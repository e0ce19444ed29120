/// \file
/// Defines how a spelling leads to a service.
///
/// Lookup is exact after normalisation. An unknown spelling is never routed by
/// guess: it gets the nearest known names as suggestions.

#ifndef CHERVILMUX_CONFIG_NAMES_H_
#define CHERVILMUX_CONFIG_NAMES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace chervilmux::config {

/// Longest spelling that is looked up or counted, in bytes.
inline constexpr std::size_t kMaxNameBytes = 128;

/// The normal form of a spelling: ASCII letters in lower case; spaces, dots and
/// underscores as hyphens, runs of them as one, none at the ends; other bytes
/// as they are.
std::string NormalizeName(std::string_view spelling);

/// Number of single-byte insertions, removals, replacements and swaps of
/// neighbours that turn one text into the other.
std::size_t EditDistance(std::string_view left, std::string_view right);

/// All spellings of one manifest.
class NameTable {
 public:
  /// Adds `spelling` for `service`. Errors: kManifestInvalid when another
  /// service already has it.
  kernel::Result<void> Add(std::string_view spelling, std::string_view service);

  /// The service for `spelling`, or an empty view.
  std::string_view Find(std::string_view spelling) const;

  /// Up to `count` services nearest to `spelling`, nearest first. Names that
  /// differ in more than half of their letters are not suggested.
  std::vector<std::string> Suggest(std::string_view spelling,
                                   std::size_t count) const;

 private:
  std::map<std::string, std::string, std::less<>> services;
};

}  // namespace chervilmux::config

#endif  // CHERVILMUX_CONFIG_NAMES_H_
