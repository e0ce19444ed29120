#include "net/message_head.h"

#include <algorithm>
#include <cstddef>

#include "net/http_message.h"

namespace chervilmux::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsTokenByte(unsigned char byte) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(static_cast<char>(byte)) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         kSymbols.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenByte);
}

bool IsVisible(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char byte) { return byte > 0x20 && byte != 0x7F; });
}

bool IsFieldValue(std::string_view text) {
  return std::ranges::all_of(text, [](unsigned char byte) {
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
  });
}

bool IsDecimal(std::string_view text) {
  constexpr std::size_t kMaxLengthDigits = 15;
  return !text.empty() && text.size() <= kMaxLengthDigits &&
         std::ranges::all_of(text, IsDigit);
}

bool IsKnownVersion(std::string_view version) {
  return version == "HTTP/1.1" || version == "HTTP/1.0";
}

/// Takes the first line, without its end, off `text`.
std::string_view TakeLine(std::string_view& text) {
  const auto end = text.find(kLineEnd);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size()
                                                   : end + kLineEnd.size());
  return line;
}

/// Counts the headers that decide where a message ends and who it is for.
struct Framing {
  int lengths = 0;
  int encodings = 0;
  int hosts = 0;
  bool valid = true;
  bool has_body = false;  ///< Or chunks, which may be none.

  void OnHeader(std::string_view name, std::string_view value) {
    if (SameHeaderName(name, "content-length")) {
      this->lengths += 1;
      this->valid = this->valid && IsDecimal(value);
      this->has_body = this->has_body || value != "0";
    } else if (SameHeaderName(name, "transfer-encoding")) {
      this->encodings += 1;
      this->valid = this->valid && SameHeaderName(value, "chunked");
      this->has_body = true;
    } else if (SameHeaderName(name, "host")) {
      this->hosts += 1;
      this->valid = this->valid && IsVisible(value);
    }
  }

  bool HasOneEnd() const {
    return this->valid && this->lengths + this->encodings <= 1;
  }
};

/// Whether an answer of `status` has no body and must not announce one. Answers
/// to HEAD and those of status 304 may state the length of a body that is left
/// out.
bool HasNoBody(std::string_view status) {
  return status.front() == '1' || status == "204";
}

/// What is wrong with the header lines of a head whose first line tells
/// `version`. Counts the headers in `framing`.
std::string_view FaultInHeaders(std::string_view lines,
                                std::string_view version, Framing& framing) {
  while (!lines.empty()) {
    const std::string_view line = TakeLine(lines);
    if (const auto fault = FaultInHeaderLine(line); !fault.empty()) {
      return fault;
    }
    const auto colon = line.find(':');
    framing.OnHeader(line.substr(0, colon), TrimBlanks(line.substr(colon + 1)));
  }
  if (!framing.HasOneEnd()) {
    return "there may be one framing header at most, in its plain form";
  }
  if (version == "HTTP/1.0" && framing.encodings > 0) {
    return "HTTP/1.0 has no Transfer-Encoding";
  }
  return "";
}

}  // namespace

std::string_view FaultInHeaderLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return "a header line is folded or has no proper name";
  }
  if (!IsFieldValue(line.substr(colon + 1))) {
    return "a header holds control characters";
  }
  return "";
}

std::string_view FaultInRequestHead(std::string_view head) {
  const std::string_view line = TakeLine(head);
  const auto first_space = line.find(' ');
  const auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) {
    return "the request line needs a method, a target and a version";
  }
  if (!IsToken(line.substr(0, first_space))) return "the method is no token";
  if (!IsVisible(line.substr(first_space + 1, last_space - first_space - 1))) {
    return "the target holds spaces or control characters";
  }
  const std::string_view version = line.substr(last_space + 1);
  if (!IsKnownVersion(version)) {
    return "the version is neither HTTP/1.1 nor HTTP/1.0";
  }
  Framing framing;
  const auto fault = FaultInHeaders(head, version, framing);
  if (fault.empty() && framing.hosts != 1) return "Host must stand once";
  return fault;
}

std::string_view FaultInAnswerHead(std::string_view head) {
  constexpr std::size_t kStatusDigits = 3;
  constexpr std::string_view kFirstStatus = "100";
  constexpr std::string_view kLastStatus = "599";
  const std::string_view line = TakeLine(head);
  const auto space = line.find(' ');
  const std::string_view version = line.substr(0, space);
  if (!IsKnownVersion(version)) {
    return "the version is neither HTTP/1.1 nor HTTP/1.0";
  }
  std::string_view rest = line.substr(version.size());
  if (!rest.empty()) rest.remove_prefix(1);
  const std::string_view status = rest.substr(0, kStatusDigits);
  const std::string_view reason = rest.substr(status.size());
  if (status.size() != kStatusDigits || !IsDecimal(status) ||
      (!reason.empty() && reason.front() != ' ')) {
    return "the status is no number of three digits";
  }
  if (status < kFirstStatus || status > kLastStatus) {
    return "the status is none of HTTP";
  }
  if (!IsFieldValue(reason)) return "the reason holds control characters";
  Framing framing;
  const auto fault = FaultInHeaders(head, version, framing);
  if (fault.empty() && framing.has_body && HasNoBody(status)) {
    return "an answer of this status has no body";
  }
  return fault;
}

bool MayBeginAnswer(std::string_view bytes) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  return kProtocol.starts_with(bytes.substr(0, kProtocol.size()));
}

}  // namespace chervilmux::net
