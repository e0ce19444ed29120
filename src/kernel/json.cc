#include "kernel/json.h"

#include <memory>

namespace chervilmux::kernel {

Result<Json::Value> ParseJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["failIfExtra"] = true;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problem;
  // The reader throws when nesting exceeds the stack limit.
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value,
                       &problem)) {
      return Fail(ErrorKind::kMessageMalformed, problem);
    }
  } catch (const Json::Exception& exception) {
    return Fail(ErrorKind::kMessageMalformed, exception.what());
  }
  return value;
}

std::string PrintJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = false;
  return Json::writeString(builder, value);
}

std::string StringOr(const Json::Value& object, const char* name,
                     std::string_view fallback) {
  if (!object.isObject()) return std::string(fallback);
  const Json::Value& member = object[name];
  if (!member.isString()) return std::string(fallback);
  return member.asString();
}

std::uint64_t UintOr(const Json::Value& object, const char* name,
                     std::uint64_t fallback) {
  if (!object.isObject()) return fallback;
  const Json::Value& member = object[name];
  if (!member.isUInt64()) return fallback;
  return member.asUInt64();
}

}  // namespace chervilmux::kernel
