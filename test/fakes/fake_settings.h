/// \file
/// Defines the few flags that the stand-ins share.

#ifndef CHERVILMUX_TEST_FAKES_FAKE_SETTINGS_H_
#define CHERVILMUX_TEST_FAKES_FAKE_SETTINGS_H_

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>

#include "net/address.h"

namespace chervilmux::fakes {

/// Flags of the form --name=value.
class Flags {
 public:
  Flags(int argc, char** argv) {
    for (int i = 1; i < argc; ++i) {
      const std::string word = argv[i];
      const auto equals = word.find('=');
      if (!word.starts_with("--") || equals == std::string::npos) {
        std::fprintf(stderr, "flags have the form --name=value: %s\n", argv[i]);
        std::exit(2);
      }
      this->values[word.substr(2, equals - 2)] = word.substr(equals + 1);
    }
  }

  std::string Text(const std::string& name,
                   const std::string& fallback = "") const {
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : found->second;
  }

  long Number(const std::string& name, long fallback) const {
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : std::stol(found->second);
  }

  net::Address Listen() const {
    auto address = net::ParseAddress(this->Text("address"));
    if (address) return std::move(address).value();
    std::fprintf(stderr, "--address: %s\n", address.error().detail.c_str());
    std::exit(2);
  }

 private:
  std::map<std::string, std::string> values;
};

/// Blocks the stop signals; call before any thread starts.
inline sigset_t BlockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return set;
}

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_FAKE_SETTINGS_H_
