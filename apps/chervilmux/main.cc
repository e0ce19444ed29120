// chervilmux: the operators' command.

#include <curl/curl.h>

#include <boost/program_options/options_description.hpp>
#include <csignal>
#include <iostream>
#include <span>
#include <string>
#include <vector>

#include "config/settings.h"
#include "kernel/error.h"
#include "node_view.h"
#include "platform_session.h"
#include "publish.h"
#include "queries.h"
#include "trace.h"

namespace chervilmux::command {
namespace {

namespace po = boost::program_options;

constexpr const char* kUsage =
    "usage: chervilmux [settings] COMMAND [ARGUMENT...]\n\n"
    "  check FILE            validate a manifest; names each bad line\n"
    "  publish FILE          put a manifest in force (needs "
    "--platform-address)\n"
    "  status                servers, owners and peers as an instance sees "
    "them\n"
    "  explain SERVICE KEY   which server owns a key, and by which rule\n"
    "  names                 unknown spellings with suggested corrections\n"
    "  drain INSTANCE        ask an entry instance to hand over and stop\n"
    "  trace ID [FILE...]    what saved logs tell of one request\n\n"
    "status, explain, names and drain need --operator-address of any "
    "instance.\nEach setting is a flag --name or an environment variable "
    "CHERVILMUX_NAME; the flag wins.\n\n";

struct Invocation {
  std::vector<std::string> words;
  net::Address platform;
  net::Address instance;
  kernel::Duration timeout{0};
};

using Run = int (*)(const Invocation&);

int Report(const kernel::Error& error) {
  std::cerr << "chervilmux: " << kernel::TraitsOf(error.kind).name << ": "
            << error.detail << "\n";
  return 1;
}

int RunCheck(const Invocation& call) {
  const auto text = CheckFile(call.words[1]);
  if (!text) return Report(text.error());
  std::cout << call.words[1] << ": valid\n";
  return 0;
}

int RunPublish(const Invocation& call) {
  const auto text = CheckFile(call.words[1]);
  if (!text) return Report(text.error());
  PlatformSession platform(call.platform, call.timeout);
  const auto revision = Publish(platform, text.value());
  if (!revision) return Report(revision.error());
  std::cout << "revision " << revision.value() << " accepted\n";
  return 0;
}

int RunStatus(const Invocation& call) {
  if (const auto node = FetchNodeStatus(call.instance)) {
    PrintNodeStatus(*node);
    return 0;
  }
  return PrintStatus(call.instance);
}

int RunExplain(const Invocation& call) {
  return PrintExplanation(call.instance, call.words[1], call.words[2]);
}

int RunNames(const Invocation& call) { return PrintNames(call.instance); }

int RunDrain(const Invocation& call) {
  return Drain(call.instance, call.words[1]);
}

int RunTrace(const Invocation& call) {
  return PrintTrace(call.words[1], std::span(call.words).subspan(2));
}

/// Arguments of a command that takes any number of them after the first ones.
constexpr std::size_t kAnyNumber = 1000;

struct Command {
  std::string_view name;
  std::size_t least_arguments;
  std::size_t most_arguments;
  bool needs_platform;
  bool needs_instance;
  Run run;
};

constexpr Command kCommands[] = {
    {"check", 1, 1, false, false, &RunCheck},
    {"publish", 1, 1, true, false, &RunPublish},
    {"status", 0, 0, false, true, &RunStatus},
    {"explain", 2, 2, false, true, &RunExplain},
    {"names", 0, 0, false, true, &RunNames},
    {"drain", 1, 1, false, true, &RunDrain},
    {"trace", 1, kAnyNumber, false, false, &RunTrace},
};

const Command* FindCommand(std::string_view name) {
  for (const auto& command : kCommands) {
    if (command.name == name) return &command;
  }
  return nullptr;
}

po::options_description Describe() {
  po::options_description options("Settings");
  options.add_options()                          //
      ("help", "print this text and exit")       //
      ("version", "print the version and exit")  //
      ("platform-address", po::value<std::string>(),
       "ip:port of the platform")  //
      ("operator-address", po::value<std::string>(),
       "ip:port of an instance's operator side")  //
      ("platform-timeout-ms", po::value<std::string>()->default_value("3000"),
       "longest wait for one answer of the platform");
  return options;
}

/// Flags come first; the first word without dashes begins the command.
std::size_t CountFlags(std::span<const char* const> arguments) {
  std::size_t i = 0;
  while (i < arguments.size() &&
         std::string_view(arguments[i]).starts_with("-")) {
    const std::string_view flag = arguments[i];
    const bool alone = flag == "--help" || flag == "--version" ||
                       flag.find('=') != std::string_view::npos;
    i += alone ? 1 : 2;
  }
  return std::min(i, arguments.size());
}

int BadSettings(const std::vector<std::string>& problems) {
  for (const auto& problem : problems) {
    std::cerr << "chervilmux: " << problem << "\n";
  }
  return config::kExitBadSetting;
}

int Main(std::span<const char* const> arguments) {
  const po::options_description description = Describe();
  const std::size_t flags = CountFlags(arguments);
  config::SettingsReader reader(description, arguments.first(flags));
  if (!reader.Problems().empty()) return BadSettings(reader.Problems());
  if (reader.Has("help")) {
    std::cout << kUsage << description;
    return 0;
  }
  if (reader.Has("version")) {
    std::cout << "chervilmux " << CHERVILMUX_VERSION << "\n";
    return 0;
  }
  Invocation call;
  for (const char* word : arguments.subspan(flags))
    call.words.emplace_back(word);
  if (call.words.empty())
    return BadSettings({"a command is required; see --help"});
  const Command* command = FindCommand(call.words[0]);
  if (command == nullptr) {
    return BadSettings({"unknown command '" + call.words[0] + "'; see --help"});
  }
  const std::size_t given = call.words.size() - 1;
  if (given < command->least_arguments || given > command->most_arguments) {
    reader.Complain(call.words[0],
                    "takes " + std::to_string(command->least_arguments) +
                        " argument(s); see --help");
  }
  call.timeout = reader.Milliseconds("platform-timeout-ms", 10, 60'000);
  if (command->needs_platform) {
    call.platform = reader.RequiredAddress("platform-address");
  }
  if (command->needs_instance) {
    call.instance = reader.RequiredAddress("operator-address");
  }
  if (!reader.Problems().empty()) return BadSettings(reader.Problems());
  return command->run(call);
}

}  // namespace
}  // namespace chervilmux::command

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const int status = chervilmux::command::Main(
      std::span<const char* const>(argv + 1, argv + argc));
  curl_global_cleanup();
  return status;
}
