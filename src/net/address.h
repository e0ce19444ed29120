/// \file
/// Defines an IP address with a port. Host names are refused: the system talks
/// by IP number only.

#ifndef CHERVILMUX_NET_ADDRESS_H_
#define CHERVILMUX_NET_ADDRESS_H_

#include <ace/INET_Addr.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/error.h"

namespace chervilmux::net {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  bool Empty() const { return this->ip.empty(); }

  /// Whether it names no machine: fit to listen at, not to connect to.
  bool IsUnspecified() const;

  /// "ip:port", with brackets around an IPv6 number.
  std::string ToString() const;
  ACE_INET_Addr ToAce() const;
};

/// Parses "1.2.3.4:80" or "[::1]:80". Errors: kSettingInvalid.
kernel::Result<Address> ParseAddress(std::string_view text);

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_ADDRESS_H_
