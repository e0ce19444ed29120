/// \file
/// Defines the checks that the heads of HTTP/1.1 messages must pass.
///
/// The http_parser library accepts forms that two parties may read differently
/// (folded headers, bare line feeds, blanks in names, repeated framing
/// headers). A message that passes through two servers must have one reading
/// only, so its head is checked before the library sees it.
///
/// Source: RFC 9112, sections 2 to 6.

#ifndef CHERVILMUX_NET_MESSAGE_HEAD_H_
#define CHERVILMUX_NET_MESSAGE_HEAD_H_

#include <cstddef>
#include <string_view>

namespace chervilmux::net {

/// Ends a head.
inline constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Longest head of an answer, the interim answers before it and its trailers
/// included.
inline constexpr std::size_t kMaxAnswerHeadBytes = 80U << 10U;

/// What is wrong with the head of a request, given without kHeadEnd; empty when
/// nothing is.
std::string_view FaultInRequestHead(std::string_view head);

/// The same for the head of an answer.
std::string_view FaultInAnswerHead(std::string_view head);

/// What is wrong with one header line, given without its line end; empty when
/// nothing is.
std::string_view FaultInHeaderLine(std::string_view line);

/// Whether `bytes` may be the beginning of an answer.
bool MayBeginAnswer(std::string_view bytes);

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_MESSAGE_HEAD_H_
