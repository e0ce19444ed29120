// Runs the scripted scenarios in scripts/: each script causes one failure and
// states what must hold during and after it.

#include "script.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace chervilmux::scenario {
namespace {

std::vector<std::filesystem::path> ScriptPaths() {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(CHERVILMUX_SCRIPTS)) {
    if (entry.path().extension() == ".scn") paths.push_back(entry.path());
  }
  std::ranges::sort(paths);
  return paths;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return content.str();
}

/// Whether KNOWN-RED.txt lists the script as one that fails. A listed script is
/// run and its failures are printed; one that passes must be removed from the
/// list.
bool IsKnownRed(const std::string& name) {
  std::istringstream list(ReadFile(CHERVILMUX_KNOWN_RED));
  for (std::string line; std::getline(list, line);) {
    if (line.starts_with(name + " |")) return true;
  }
  return false;
}

// Failure: an expectation of a script does not hold, or a known failure no
// longer occurs but is still listed.
TEST_CASE("every script passes, except those listed as known failures") {
  const auto scripts = ScriptPaths();
  REQUIRE(scripts.size() > 20);
  for (const auto& path : scripts) {
    const std::string name = path.filename().string();
    CAPTURE(name);
    const ScriptResult result = RunScript(ReadFile(path));
    if (IsKnownRed(name)) {
      for (const auto& failure : result.failures) {
        MESSAGE("known failure: " << name << ": " << failure);
      }
      CHECK_MESSAGE(!result.failures.empty(),
                    name << " passes: remove it from KNOWN-RED.txt");
      continue;
    }
    for (const auto& failure : result.failures) {
      FAIL_CHECK(name << ": " << failure);
    }
    if (!result.failures.empty()) MESSAGE(result.end_state);
  }
}

// Failure: a script with a mistake passes without checking anything. The three
// scripts have an unknown instance, an unknown statement and a wrong
// expectation.
TEST_CASE("a script with a mistake in it does not pass") {
  CHECK(!RunScript("run 100\nexpect leader i9\n").failures.empty());
  CHECK(!RunScript("kil i0\n").failures.empty());
  CHECK(!RunScript("run 100\nexpect violation\n").failures.empty());
}

}  // namespace
}  // namespace chervilmux::scenario
