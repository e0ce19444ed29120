#include "script.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace chervilmux::scenario {
namespace {

std::vector<std::filesystem::path> Scripts() {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(CHERVILMUX_SCRIPTS)) {
    if (entry.path().extension() == ".scn") paths.push_back(entry.path());
  }
  std::ranges::sort(paths);
  return paths;
}

std::string Read(const std::filesystem::path& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return content.str();
}

TEST_CASE("every scripted scenario goes as its script says") {
  const auto scripts = Scripts();
  REQUIRE(scripts.size() > 20);
  for (const auto& path : scripts) {
    CAPTURE(path.filename().string());
    const ScriptResult result = RunScript(Read(path));
    for (const auto& failure : result.failures) {
      FAIL_CHECK(path.filename().string() << ": " << failure);
    }
    if (!result.failures.empty()) MESSAGE(result.end_state);
  }
}

TEST_CASE("a script with a slip in it does not pass") {
  CHECK(!RunScript("run 100\nexpect leader i9\n").failures.empty());
  CHECK(!RunScript("kil i0\n").failures.empty());
  CHECK(!RunScript("run 100\nexpect violation\n").failures.empty());
}

}  // namespace
}  // namespace chervilmux::scenario
