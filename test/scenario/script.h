/// \file
/// Defines the script language of the scripted scenarios.
///
/// A script has one statement per line; `#` begins a comment. docs/PROOFS.md
/// lists the statements. A script runs in virtual time against one VirtualCell,
/// so each run gives the same result.

#ifndef CHERVILMUX_TEST_SCENARIO_SCRIPT_H_
#define CHERVILMUX_TEST_SCENARIO_SCRIPT_H_

#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::scenario {

struct ScriptResult {
  /// One line for each expectation that did not hold and each invalid
  /// statement.
  std::vector<std::string> failures;
  std::string end_state;  ///< State of all nodes at the end.
};

/// Runs a whole script. It also fails on any violation of an invariant, unless
/// it contains `expect violation`; then it fails without one.
ScriptResult RunScript(std::string_view text);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_SCRIPT_H_
