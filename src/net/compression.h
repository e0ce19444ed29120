/// \file
/// Compresses bodies that instances send each other.

#ifndef CHERVILMUX_NET_COMPRESSION_H_
#define CHERVILMUX_NET_COMPRESSION_H_

#include <string>
#include <string_view>

#include "net/http_message.h"

namespace chervilmux::net {

/// `bytes` as a gzip member (RFC 1952).
std::string Gzip(std::string_view bytes);

/// Compresses the body of `answer` if that is worth it and the sender of
/// `request` accepts it.
void CompressFor(const HttpRequest& request, HttpAnswer& answer);

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_COMPRESSION_H_
