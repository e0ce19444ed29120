#include "net/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

namespace chervilmux::net {
namespace {

using IpBytes = std::array<unsigned char, sizeof(in6_addr)>;

/// The bytes of an IP number, zeros behind those of IPv4.
std::optional<IpBytes> ParseIp(const std::string& ip) {
  // The C function would read only what stands before the zero.
  if (ip.find('\0') != std::string::npos) return std::nullopt;
  IpBytes parsed{};
  if (inet_pton(AF_INET, ip.c_str(), parsed.data()) == 1) return parsed;
  if (inet_pton(AF_INET6, ip.c_str(), parsed.data()) == 1) return parsed;
  return std::nullopt;
}

}  // namespace

std::string Address::ToString() const {
  const bool v6 = this->ip.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + this->ip + "]" : this->ip;
  return host + ":" + std::to_string(this->port);
}

ACE_INET_Addr Address::ToAce() const {
  return ACE_INET_Addr(this->port, this->ip.c_str());
}

bool Address::IsUnspecified() const {
  return ParseIp(this->ip).value_or(IpBytes{}) == IpBytes{};
}

kernel::Result<Address> ParseAddress(std::string_view text) {
  using kernel::ErrorKind;
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return kernel::Fail(ErrorKind::kSettingInvalid,
                        "'" + std::string(text) + "' lacks ':port'");
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Address address;
  address.ip = std::string(host);
  if (!ParseIp(address.ip)) {
    return kernel::Fail(ErrorKind::kSettingInvalid,
                        "'" + address.ip + "' is not an IP number");
  }
  unsigned port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 ||
      port > 65535) {
    return kernel::Fail(ErrorKind::kSettingInvalid,
                        "'" + std::string(port_text) + "' is not a port");
  }
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

}  // namespace chervilmux::net
