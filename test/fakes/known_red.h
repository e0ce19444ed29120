/// \file
/// Tells which test cases are red for a known, filed reason.

#ifndef CHERVILMUX_TEST_FAKES_KNOWN_RED_H_
#define CHERVILMUX_TEST_FAKES_KNOWN_RED_H_

#include <fstream>
#include <string>
#include <string_view>

namespace chervilmux::fakes {

/// Whether KNOWN-RED.txt lists the test case `name`, for doctest's may_fail.
inline bool IsKnownRed(std::string_view name) {
  std::ifstream list(CHERVILMUX_KNOWN_RED);
  const std::string start = std::string(name) + " |";
  for (std::string line; std::getline(list, line);) {
    if (line.starts_with(start)) return true;
  }
  return false;
}

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_KNOWN_RED_H_
