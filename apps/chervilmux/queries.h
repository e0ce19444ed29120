/// \file
/// Defines the commands that ask running entry instances.

#ifndef CHERVILMUX_APPS_CHERVILMUX_QUERIES_H_
#define CHERVILMUX_APPS_CHERVILMUX_QUERIES_H_

#include <span>
#include <string>

#include "net/address.h"

namespace chervilmux::command {

/// Each prints its result and returns the exit status: 0, or 1 with one line on
/// standard error when no instance answers.
int PrintStatus(const net::Address& instance);
int PrintExplanation(const net::Address& instance, const std::string& service,
                     const std::string& key);
/// Sums the unknown spellings over all instances that `instance` knows and
/// prints corrections ready to paste into the manifest.
int PrintNames(const net::Address& instance);
/// Asks the instance called `name` to hand over its cells and stop.
int Drain(const net::Address& instance, const std::string& name);

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_QUERIES_H_
