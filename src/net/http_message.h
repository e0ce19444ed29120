/// \file
/// Defines HTTP requests and answers as plain values.

#ifndef CHERVILMUX_NET_HTTP_MESSAGE_H_
#define CHERVILMUX_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::net {

struct Header {
  std::string name;
  std::string value;
  bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;

/// The first value of `name`, compared without case; empty when missing.
std::string_view FindHeader(const Headers& headers, std::string_view name);

/// `text` without the blanks and tabs at its ends.
std::string_view TrimBlanks(std::string_view text);

/// Whether two header names are the same without regard to case.
bool SameHeaderName(std::string_view left, std::string_view right);

/// Bytes of memory that hold `headers`.
std::size_t HeldBytes(const Headers& headers);

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1),
/// those that `Connection` names included.
void RemoveHopByHop(Headers& headers);

struct HttpRequest {
  std::string method;
  std::string url;  ///< Absolute for a client, path and query for a server.
  Headers headers;
  std::string body;
};

struct HttpAnswer {
  std::uint16_t status = 0;
  Headers headers;
  std::string body;
};

/// An answer without headers of its own.
HttpAnswer PlainAnswer(std::uint16_t status, std::string body = "");

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_HTTP_MESSAGE_H_
