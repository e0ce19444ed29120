#include "config/settings.h"

#include <boost/program_options/environment_iterator.hpp>
#include <boost/program_options/parsers.hpp>
#include <charconv>
#include <utility>

namespace chervilmux::config {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kPrefix = "CHERVILMUX_";

/// "CHERVILMUX_LOG_LEVEL" -> "log-level"; empty for other variables.
std::string FlagOf(const std::string& variable,
                   const po::options_description& description) {
  if (!variable.starts_with(kPrefix)) return {};
  std::string name;
  for (char c : variable.substr(kPrefix.size())) {
    if (c == '_') c = '-';
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    name.push_back(c);
  }
  // Variables may be meant for another program of the family.
  return description.find_nothrow(name, false) == nullptr ? std::string()
                                                          : name;
}

}  // namespace

SettingsReader::SettingsReader(const po::options_description& description,
                               std::span<const char* const> arguments) {
  try {
    const std::vector<std::string> words(arguments.begin(), arguments.end());
    const auto style = po::command_line_style::unix_style ^
                       po::command_line_style::allow_guessing;
    po::store(po::command_line_parser(words)
                  .options(description)
                  .style(style)
                  .positional({})
                  .run(),
              this->values);
    po::store(po::parse_environment(description,
                                    [&](const std::string& variable) {
                                      return FlagOf(variable, description);
                                    }),
              this->values);
  } catch (const po::error& error) {
    this->problems.emplace_back(error.what());
  }
}

bool SettingsReader::Has(const char* name) const {
  return this->values.count(name) > 0;
}

std::string SettingsReader::Text(const char* name) {
  return this->Has(name) ? this->values[name].as<std::string>() : std::string();
}

std::string SettingsReader::RequiredText(const char* name) {
  std::string text = this->Text(name);
  if (text.empty()) this->Complain(name, "is required");
  return text;
}

net::Address SettingsReader::RequiredAddress(const char* name) {
  const std::string text = this->RequiredText(name);
  if (text.empty()) return {};
  auto address = net::ParseAddress(text);
  if (address) return std::move(address).value();
  this->Complain(name, address.error().detail);
  return {};
}

std::vector<net::Address> SettingsReader::AddressList(const char* name) {
  std::vector<net::Address> addresses;
  for (const auto& part : SplitList(this->Text(name))) {
    auto address = net::ParseAddress(part);
    if (address) {
      addresses.push_back(std::move(address).value());
    } else {
      this->Complain(name, address.error().detail);
    }
  }
  return addresses;
}

std::int64_t SettingsReader::Number(const char* name, std::int64_t low,
                                    std::int64_t high) {
  const std::string text = this->Text(name);
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec == std::errc() && parsed.ptr == end && value >= low &&
      value <= high) {
    return value;
  }
  this->Complain(name, "'" + text + "' is not a whole number from " +
                           std::to_string(low) + " to " + std::to_string(high));
  return low;
}

kernel::Duration SettingsReader::Milliseconds(const char* name,
                                              std::int64_t low,
                                              std::int64_t high) {
  return kernel::milliseconds(this->Number(name, low, high));
}

void SettingsReader::Complain(const std::string& name,
                              const std::string& what) {
  this->problems.push_back("--" + name + " " + what);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    if (!part.empty()) parts.emplace_back(part);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

}  // namespace chervilmux::config
