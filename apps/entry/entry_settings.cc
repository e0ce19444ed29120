#include "entry_settings.h"

#include <algorithm>
#include <boost/program_options/options_description.hpp>
#include <chrono>
#include <iostream>

#include "config/settings.h"
#include "observe/log.h"

namespace chervilmux::entry {
namespace {

namespace po = boost::program_options;

constexpr std::int64_t kMaxDurationMs = 86'400'000;

po::options_description Describe() {
  po::options_description options("Settings");
  const auto text = [](const char* fallback) {
    return po::value<std::string>()->default_value(fallback);
  };
  const auto required = [] { return po::value<std::string>(); };
  options.add_options()                              //
      ("help", "print this text and exit")           //
      ("version", "print the version and exit")      //
      ("name", required(), "name of this instance")  //
      ("incarnation", text("0"),
       "number of this life, as on the platform's list; 0: start time")  //
      ("failure-domain", required(), "failure domain of this instance")  //
      ("failure-domains", text(""),
       "all failure domains, by commas; empty: not checked")  //
      ("caller-address", required(), "ip:port for callers")   //
      ("peer-address", required(), "ip:port for other instances (UDP and TCP)")(
          "operator-address", required(),
          "ip:port for operators and metrics")                           //
      ("platform-address", required(), "ip:port of the platform")        //
      ("peers", text(""), "ip:port of some other instances, by commas")  //
      ("max-body-bytes", text("1048576"),
       "largest body of a request or an answer")  //
      ("platform-timeout-ms", text("1000"),
       "longest wait for one answer of the platform")  //
      ("list-lag-ms", text("2000"),
       "longest time by which the platform's list lags")  //
      ("lease-ms", text("600"), "lease of a grant")       //
      ("stop-timeout-ms", text("15000"),
       "longest wait of a planned stop for its requests")  //
      ("log-level", text("info"), "debug, info, warn or error");
  return options;
}

std::uint64_t StartTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<kernel::Duration>(now).count());
}

EntrySettings Convert(config::SettingsReader& reader) {
  EntrySettings settings;
  settings.self.name = reader.RequiredText("name");
  settings.self.incarnation =
      static_cast<std::uint64_t>(reader.Number("incarnation", 0, INT64_MAX));
  if (settings.self.incarnation == 0) settings.self.incarnation = StartTime();
  settings.failure_domain = reader.RequiredText("failure-domain");
  const auto domains = config::SplitList(reader.Text("failure-domains"));
  const bool known =
      std::ranges::find(domains, settings.failure_domain) != domains.end();
  if (!domains.empty() && !settings.failure_domain.empty() && !known) {
    reader.Complain("failure-domain", "'" + settings.failure_domain +
                                          "' is not one of --failure-domains");
  }
  settings.caller_address = reader.RequiredAddress("caller-address");
  settings.peer_address = reader.RequiredAddress("peer-address");
  settings.operator_address = reader.RequiredAddress("operator-address");
  settings.platform_address = reader.RequiredAddress("platform-address");
  settings.seeds = reader.AddressList("peers");
  settings.max_body_bytes =
      static_cast<std::size_t>(reader.Number("max-body-bytes", 1, 8U << 20U));
  settings.platform_timeout =
      reader.Milliseconds("platform-timeout-ms", 10, 60'000);
  settings.stop_timeout =
      reader.Milliseconds("stop-timeout-ms", 1, kMaxDurationMs);
  settings.timing.list_lag =
      reader.Milliseconds("list-lag-ms", 1, kMaxDurationMs);
  settings.timing.lease = reader.Milliseconds("lease-ms", 200, 60'000);
  settings.timing.store_timeout = settings.platform_timeout * 2;
  settings.log_level = reader.Text("log-level");
  if (!observe::IsLogLevel(settings.log_level)) {
    reader.Complain("log-level", "must be debug, info, warn or error");
  }
  return settings;
}

}  // namespace

std::variant<EntrySettings, ExitNow> ReadEntrySettings(
    std::span<const char* const> arguments) {
  const po::options_description description = Describe();
  config::SettingsReader reader(description, arguments);
  if (reader.Problems().empty() && reader.Has("help")) {
    std::cout << "chervilmux-entry: an entry instance of chervilmux\n\n"
                 "Each setting is a flag --name or an environment variable "
                 "CHERVILMUX_NAME; the flag wins.\n\n"
              << description;
    return ExitNow{0};
  }
  if (reader.Problems().empty() && reader.Has("version")) {
    std::cout << "chervilmux-entry " << CHERVILMUX_VERSION << "\n";
    return ExitNow{0};
  }
  EntrySettings settings;
  if (reader.Problems().empty()) settings = Convert(reader);
  for (const auto& problem : reader.Problems()) {
    std::cerr << "chervilmux-entry: " << problem << "\n";
  }
  if (!reader.Problems().empty()) return ExitNow{config::kExitBadSetting};
  return settings;
}

}  // namespace chervilmux::entry
