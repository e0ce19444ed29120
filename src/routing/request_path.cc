#include "routing/request_path.h"

#include <utility>

#include "config/names.h"

namespace chervilmux::routing {
namespace {

using kernel::ErrorKind;
using kernel::Fail;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

kernel::Result<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '%') {
      const int high = i + 1 < text.size() ? HexDigit(text[i + 1]) : -1;
      const int low = i + 2 < text.size() ? HexDigit(text[i + 2]) : -1;
      if (high < 0 || low < 0) {
        return Fail(ErrorKind::kBadRequest,
                    "invalid percent escape in the path");
      }
      c = static_cast<char>(high * 16 + low);
      i += 2;
    }
    if (c == '\0') return Fail(ErrorKind::kBadRequest, "NUL byte in the path");
    decoded.push_back(c);
  }
  return decoded;
}

kernel::Result<RequestPath> ParseRequestPath(std::string_view target) {
  if (!target.starts_with('/')) {
    return Fail(ErrorKind::kBadRequest, "the path must begin with '/'");
  }
  std::string_view path = target.substr(1, target.find('?') - 1);
  const auto slash = path.find('/');
  if (slash == std::string_view::npos) {
    return Fail(ErrorKind::kBadRequest, "the path has no key");
  }
  const std::string_view raw_key =
      path.substr(slash + 1, path.find('/', slash + 1) - slash - 1);
  BOOST_OUTCOME_TRY(service, PercentDecode(path.substr(0, slash)));
  BOOST_OUTCOME_TRY(key, PercentDecode(raw_key));
  if (service.empty() || service.size() > config::kMaxNameBytes) {
    return Fail(ErrorKind::kBadRequest,
                "the service name is empty or too long");
  }
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return Fail(ErrorKind::kBadRequest, "the key is empty or too long");
  }
  return RequestPath{std::move(service), std::move(key)};
}

}  // namespace chervilmux::routing
