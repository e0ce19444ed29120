#include "net/compression.h"

#include <zlib.h>

#include "kernel/error.h"

namespace chervilmux::net {
namespace {

/// Smaller bodies fit into a few packets as they are.
constexpr std::size_t kMinBodyBytes = 4096;
/// Selects the gzip format with the largest window.
constexpr int kGzipWindowBits = 15 + 16;
constexpr int kMemoryLevel = 8;  // zlib's default

}  // namespace

std::string Gzip(std::string_view bytes) {
  z_stream stream{};
  if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kGzipWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
    kernel::InternalError("zlib cannot start");
  }
  std::string packed(deflateBound(&stream, bytes.size()), '\0');
  // zlib takes the input without const, but does not change it.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  stream.next_out = reinterpret_cast<Bytef*>(packed.data());
  stream.avail_out = static_cast<uInt>(packed.size());
  deflate(&stream, Z_FINISH);
  packed.resize(stream.total_out);
  deflateEnd(&stream);
  return packed;
}

void CompressFor(const HttpRequest& request, HttpAnswer& answer) {
  const bool accepted =
      FindHeader(request.headers, "accept-encoding").find("gzip") !=
      std::string_view::npos;
  if (!accepted || answer.body.size() < kMinBodyBytes) return;
  answer.body = Gzip(answer.body);
  answer.headers.push_back({"Content-Encoding", "gzip"});
}

}  // namespace chervilmux::net
