/// \file
/// Defines reading of settings from flags and environment variables.
///
/// Every setting NAME is the flag --name and the variable CHERVILMUX_NAME; the
/// flag wins. All settings are checked together before anything starts, and
/// each bad one gets one clear line.

#ifndef CHERVILMUX_CONFIG_SETTINGS_H_
#define CHERVILMUX_CONFIG_SETTINGS_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "net/address.h"

namespace chervilmux::config {

/// Exit status for a bad setting.
inline constexpr int kExitBadSetting = 2;

/// Collects the settings of one program and the complaints about them.
class SettingsReader {
 public:
  /// Parses flags and environment. Unknown flags become problems.
  SettingsReader(const boost::program_options::options_description& description,
                 std::span<const char* const> arguments);

  bool Has(const char* name) const;
  std::string Text(const char* name);
  std::string RequiredText(const char* name);
  net::Address RequiredAddress(const char* name);
  std::vector<net::Address> AddressList(const char* name);
  /// A whole number within [low, high].
  std::int64_t Number(const char* name, std::int64_t low, std::int64_t high);
  kernel::Duration Milliseconds(const char* name, std::int64_t low,
                                std::int64_t high);

  void Complain(const std::string& name, const std::string& what);
  const std::vector<std::string>& Problems() const { return this->problems; }

 private:
  boost::program_options::variables_map values;
  std::vector<std::string> problems;
};

/// Splits "a,b,c"; empty parts are dropped.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace chervilmux::config

#endif  // CHERVILMUX_CONFIG_SETTINGS_H_
