/// \file
/// Defines the test language of scripted scenarios.
///
/// One statement a line; `#` begins a comment. docs/PROOFS.md lists the words.
/// Everything runs in virtual time against one VirtualCell, so a script gives
/// the same verdict every time.

#ifndef CHERVILMUX_TEST_SCENARIO_SCRIPT_H_
#define CHERVILMUX_TEST_SCENARIO_SCRIPT_H_

#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::scenario {

struct ScriptResult {
  /// One line for each expectation that did not hold or word not understood.
  std::vector<std::string> failures;
  std::string end_state;
};

/// Runs a whole script. A script that does not say `expect violation` also
/// fails on any violation.
ScriptResult RunScript(std::string_view text);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_SCRIPT_H_
