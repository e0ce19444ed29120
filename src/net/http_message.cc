#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chervilmux::net {
namespace {

constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
     "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"});

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Names listed in all Connection headers.
std::vector<std::string> ConnectionTokens(const Headers& headers) {
  std::vector<std::string> tokens;
  for (const auto& header : headers) {
    if (!SameHeaderName(header.name, "connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      const std::string_view token = TrimBlanks(rest.substr(0, comma));
      if (!token.empty()) tokens.emplace_back(token);
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return tokens;
}

}  // namespace

std::string_view TrimBlanks(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

bool SameHeaderName(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, Lower, Lower);
}

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return SameHeaderName(header.name, name);
  });
  return found == headers.end() ? std::string_view() : found->value;
}

std::size_t HeldBytes(const Headers& headers) {
  const std::size_t own_bytes = std::string().capacity();
  const auto outside = [own_bytes](const std::string& text) {
    return text.capacity() > own_bytes ? text.capacity() : 0;
  };
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const auto& header : headers)
    bytes += outside(header.name) + outside(header.value);
  return bytes;
}

void RemoveHopByHop(Headers& headers) {
  const auto named = ConnectionTokens(headers);
  const auto same_as = [](std::string_view name) {
    return
        [name](std::string_view other) { return SameHeaderName(name, other); };
  };
  std::erase_if(headers, [&](const Header& header) {
    return std::ranges::any_of(kHopByHop, same_as(header.name)) ||
           std::ranges::any_of(named, same_as(header.name));
  });
}

HttpAnswer PlainAnswer(std::uint16_t status, std::string body) {
  HttpAnswer answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

}  // namespace chervilmux::net
