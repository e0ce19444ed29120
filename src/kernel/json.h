/// \file
/// Defines parsing and printing of JSON values with typed errors.

#ifndef CHERVILMUX_KERNEL_JSON_H_
#define CHERVILMUX_KERNEL_JSON_H_

#include <json/json.h>

#include <string>
#include <string_view>

#include "kernel/error.h"

namespace chervilmux::kernel {

/// Parses one strict JSON document. Errors: kMessageMalformed, with the place.
Result<Json::Value> ParseJson(std::string_view text);

/// Prints `value` on one line.
std::string PrintJson(const Json::Value& value);

/// The string member `name` of an object, or `fallback` when it is missing or
/// not a string.
std::string StringOr(const Json::Value& object, const char* name,
                     std::string_view fallback = "");

/// The unsigned member `name` of an object, or `fallback`.
std::uint64_t UintOr(const Json::Value& object, const char* name,
                     std::uint64_t fallback = 0);

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_JSON_H_
