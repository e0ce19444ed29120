/// \file
/// Defines the settings of chervilmux-entry.

#ifndef CHERVILMUX_APPS_ENTRY_ENTRY_SETTINGS_H_
#define CHERVILMUX_APPS_ENTRY_ENTRY_SETTINGS_H_

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/time.h"
#include "net/address.h"
#include "ownership/cell_timing.h"
#include "ownership/row.h"

namespace chervilmux::entry {

struct EntrySettings {
  ownership::InstanceId self;
  std::string failure_domain;
  net::Address caller_address;
  net::Address peer_address;
  net::Address operator_address;
  net::Address platform_address;
  std::vector<net::Address> seeds;
  std::size_t max_body_bytes = 0;
  kernel::Duration platform_timeout{0};
  kernel::Duration stop_timeout{0};
  ownership::CellTiming timing;
  std::string log_level;
};

/// The program has said all it had to say (--help, --version, bad settings).
struct ExitNow {
  int status = 0;
};

/// Reads and checks all settings; prints help, version or the complaints.
std::variant<EntrySettings, ExitNow> ReadEntrySettings(
    std::span<const char* const> arguments);

}  // namespace chervilmux::entry

#endif  // CHERVILMUX_APPS_ENTRY_ENTRY_SETTINGS_H_
