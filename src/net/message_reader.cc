#include "net/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace chervilmux::net {
namespace {

using kernel::ErrorKind;

/// Collects the headers that http_parser reports in pieces.
struct HeaderCollector {
  Headers headers;
  bool in_value = true;

  void OnField(std::string_view piece) {
    if (this->in_value) this->headers.emplace_back();
    this->in_value = false;
    this->headers.back().name += piece;
  }
  void OnValue(std::string_view piece) {
    this->in_value = true;
    this->headers.back().value += piece;
  }
};

bool IsTokenByte(unsigned char byte) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
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
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

/// Counts the headers that decide where a request ends and who it is for.
struct Framing {
  int lengths = 0;
  int encodings = 0;
  int hosts = 0;
  bool valid = true;

  void OnHeader(std::string_view name, std::string_view value) {
    if (SameHeaderName(name, "content-length")) {
      this->lengths += 1;
      this->valid = this->valid && IsDecimal(value);
    } else if (SameHeaderName(name, "transfer-encoding")) {
      this->encodings += 1;
      this->valid = this->valid && SameHeaderName(value, "chunked");
    } else if (SameHeaderName(name, "host")) {
      this->hosts += 1;
      this->valid = this->valid && IsVisible(value);
    }
  }

  bool HasOneReading() const {
    return this->valid && this->lengths + this->encodings <= 1 &&
           this->hosts == 1;
  }
};

/// What is wrong with a request head (without its last empty line); empty when
/// nothing is.
std::string_view FaultInHead(std::string_view head) {
  const auto first_end = head.find("\r\n");
  const std::string_view line = head.substr(0, first_end);
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
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return "the version is neither HTTP/1.1 nor HTTP/1.0";
  }
  Framing framing;
  std::string_view rest =
      first_end == std::string_view::npos ? "" : head.substr(first_end + 2);
  while (!rest.empty()) {
    const auto end = rest.find("\r\n");
    const std::string_view field = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 2);
    const auto colon = field.find(':');
    if (colon == std::string_view::npos || !IsToken(field.substr(0, colon))) {
      return "a header line is folded or has no proper name";
    }
    const std::string_view value = TrimBlanks(field.substr(colon + 1));
    if (!IsFieldValue(value)) return "a header holds control characters";
    framing.OnHeader(field.substr(0, colon), value);
  }
  if (!framing.HasOneReading()) {
    return "Host must stand once, and one framing header at most";
  }
  if (version == "HTTP/1.0" && framing.encodings > 0) {
    return "HTTP/1.0 has no Transfer-Encoding";
  }
  return "";
}

template <typename Owner>
Owner& OwnerOf(http_parser* parser) {
  return *static_cast<Owner*>(parser->data);
}

/// Has the parser give the fields of the head to the owner's collector. Fields
/// behind the body (trailers) are not passed on.
template <typename Owner>
void CollectHeaders(http_parser_settings& settings) {
  settings.on_header_field = [](http_parser* parser, const char* at,
                                std::size_t length) {
    auto& owner = OwnerOf<Owner>(parser);
    if (!owner.head_done) owner.collector.OnField({at, length});
    return 0;
  };
  settings.on_header_value = [](http_parser* parser, const char* at,
                                std::size_t length) {
    auto& owner = OwnerOf<Owner>(parser);
    if (!owner.head_done) owner.collector.OnValue({at, length});
    return 0;
  };
}

}  // namespace

class RequestReader::Impl {
 public:
  explicit Impl(const ReadLimits& limits) : limits(limits) {
    http_parser_settings_init(&this->settings);
    this->settings.on_url = [](http_parser* parser, const char* at,
                               std::size_t length) {
      OwnerOf<Impl>(parser).request.url.append(at, length);
      return 0;
    };
    CollectHeaders<Impl>(this->settings);
    this->settings.on_headers_complete = [](http_parser* parser) {
      OwnerOf<Impl>(parser).head_done = true;
      return 0;
    };
    this->settings.on_body = [](http_parser* parser, const char* at,
                                std::size_t length) {
      auto& self = OwnerOf<Impl>(parser);
      if (self.request.body.size() + length > self.limits.max_body_bytes) {
        self.too_large = true;
        return 1;
      }
      self.request.body.append(at, length);
      return 0;
    };
    this->settings.on_message_complete = [](http_parser* parser) {
      OwnerOf<Impl>(parser).whole = true;
      http_parser_pause(parser, 1);
      return 0;
    };
  }

  ReadState Advance() {
    if (this->state == ReadState::kInvalid) return this->state;
    this->state = this->head_fed ? this->FeedBody() : this->FeedHead();
    return this->state;
  }

  ReadState FeedHead() {
    // Empty lines before a request line are ignored (RFC 9112, 2.2).
    while (this->buffer.starts_with("\r\n")) this->buffer.erase(0, 2);
    const auto end = this->buffer.find("\r\n\r\n");
    const std::size_t head_size =
        end == std::string::npos ? this->buffer.size() : end + 4;
    if (head_size > this->limits.max_head_bytes) {
      return this->Refuse(ErrorKind::kHeadersTooLarge, "head too large");
    }
    const std::string_view head(this->buffer.data(),
                                end == std::string::npos ? 0 : end);
    if (end == std::string::npos) return this->CheckBareLineFeed();
    if (const auto fault = FaultInHead(head); !fault.empty()) {
      return this->Refuse(ErrorKind::kBadRequest, fault);
    }
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
    this->head_fed = true;
    const auto state = this->Feed(head_size);
    if (state == ReadState::kInvalid) return state;
    this->request.method =
        http_method_str(static_cast<http_method>(this->parser.method));
    if (this->request.method == "CONNECT") {
      return this->Refuse(ErrorKind::kBadRequest, "CONNECT is not offered");
    }
    this->expects_continue =
        !this->whole &&
        SameHeaderName(FindHeader(this->collector.headers, "expect"),
                       "100-continue");
    return this->whole ? ReadState::kComplete : this->FeedBody();
  }

  /// A head that ends its lines by line feeds alone never ends for us.
  ReadState CheckBareLineFeed() {
    return this->buffer.find("\n\n") == std::string::npos
               ? ReadState::kNeedMore
               : this->Refuse(ErrorKind::kBadRequest,
                              "lines must end with CR LF");
  }

  ReadState FeedBody() {
    if (this->buffer.empty()) return ReadState::kNeedMore;
    return this->Feed(this->buffer.size());
  }

  ReadState Feed(std::size_t size) {
    const std::size_t used = http_parser_execute(&this->parser, &this->settings,
                                                 this->buffer.data(), size);
    this->buffer.erase(0, used);
    if (this->whole) return ReadState::kComplete;
    if (this->too_large) {
      return this->Refuse(ErrorKind::kBodyTooLarge, "body too large");
    }
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (error != HPE_OK) {
      return this->Refuse(ErrorKind::kBadRequest,
                          http_errno_description(error));
    }
    return ReadState::kNeedMore;
  }

  ReadState Refuse(ErrorKind kind, std::string_view why) {
    this->refusal = {kind, std::string(why)};
    return ReadState::kInvalid;
  }

  HttpRequest Take() {
    HttpRequest taken = std::exchange(this->request, HttpRequest());
    taken.headers = std::move(this->collector.headers);
    this->collector = HeaderCollector();
    this->head_fed = false;
    this->head_done = false;
    this->whole = false;
    this->expects_continue = false;
    return taken;
  }

  ReadLimits limits;
  http_parser parser{};
  http_parser_settings settings{};
  std::string buffer;
  HttpRequest request;
  HeaderCollector collector;
  kernel::Error refusal{ErrorKind::kBadRequest, ""};
  ReadState state = ReadState::kNeedMore;
  bool head_fed = false;
  bool head_done = false;
  bool whole = false;
  bool too_large = false;
  bool expects_continue = false;
};

RequestReader::RequestReader(const ReadLimits& limits)
    : impl(std::make_unique<Impl>(limits)) {}
RequestReader::~RequestReader() = default;

void RequestReader::Append(std::string_view bytes) {
  this->impl->buffer += bytes;
}
ReadState RequestReader::Advance() { return this->impl->Advance(); }
HttpRequest RequestReader::Take() { return this->impl->Take(); }
const kernel::Error& RequestReader::Refusal() const {
  return this->impl->refusal;
}
std::size_t RequestReader::BufferedBytes() const {
  return this->impl->buffer.size() + this->impl->request.body.size();
}
bool RequestReader::InMessage() const {
  return this->impl->head_fed || !this->impl->buffer.empty();
}
bool RequestReader::TakeExpectsContinue() {
  return std::exchange(this->impl->expects_continue, false);
}
void RequestReader::SetLimits(const ReadLimits& limits) {
  this->impl->limits = limits;
}

class AnswerReader::Impl {
 public:
  Impl(bool to_head, std::size_t max_body_bytes)
      : to_head(to_head), max_body_bytes(max_body_bytes) {
    http_parser_settings_init(&this->settings);
    this->settings.on_message_begin = [](http_parser* parser) {
      auto& self = OwnerOf<Impl>(parser);
      self.collector = HeaderCollector();
      self.head_done = false;
      return 0;
    };
    CollectHeaders<Impl>(this->settings);
    this->settings.on_headers_complete = [](http_parser* parser) {
      auto& self = OwnerOf<Impl>(parser);
      self.head_done = true;
      // 1 tells the library that no body follows.
      return self.to_head ? 1 : 0;
    };
    this->settings.on_body = [](http_parser* parser, const char* at,
                                std::size_t length) {
      auto& self = OwnerOf<Impl>(parser);
      if (self.answer.body.size() + length > self.max_body_bytes) {
        self.too_large = true;
        return 1;
      }
      self.answer.body.append(at, length);
      return 0;
    };
    this->settings.on_message_complete = [](http_parser* parser) {
      auto& self = OwnerOf<Impl>(parser);
      if (parser->status_code < 200) return 0;
      self.answer.status = static_cast<std::uint16_t>(parser->status_code);
      self.keep_alive = http_should_keep_alive(parser) != 0;
      self.whole = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
  }

  ReadState Append(std::string_view bytes) {
    this->used = 0;
    if (this->whole) return ReadState::kComplete;
    this->started = this->started || !bytes.empty();
    this->used = http_parser_execute(&this->parser, &this->settings,
                                     bytes.data(), bytes.size());
    if (this->whole) return ReadState::kComplete;
    const bool failed =
        HTTP_PARSER_ERRNO(&this->parser) != HPE_OK || this->parser.upgrade != 0;
    return failed ? ReadState::kInvalid : ReadState::kNeedMore;
  }

  ReadState OnEnd() {
    if (this->whole) return ReadState::kComplete;
    if (!this->started) return ReadState::kInvalid;
    http_parser_execute(&this->parser, &this->settings, nullptr, 0);
    return this->whole ? ReadState::kComplete : ReadState::kInvalid;
  }

  bool to_head;
  std::size_t max_body_bytes;
  http_parser parser{};
  http_parser_settings settings{};
  HttpAnswer answer;
  HeaderCollector collector;
  bool head_done = false;
  bool whole = false;
  bool started = false;
  std::size_t used = 0;
  bool keep_alive = false;
  bool too_large = false;
};

AnswerReader::AnswerReader(bool to_head, std::size_t max_body_bytes)
    : impl(std::make_unique<Impl>(to_head, max_body_bytes)) {}
AnswerReader::~AnswerReader() = default;

ReadState AnswerReader::Append(std::string_view bytes) {
  return this->impl->Append(bytes);
}
ReadState AnswerReader::OnEnd() { return this->impl->OnEnd(); }
bool AnswerReader::Started() const { return this->impl->started; }
std::size_t AnswerReader::Used() const { return this->impl->used; }
bool AnswerReader::KeepAlive() const { return this->impl->keep_alive; }
bool AnswerReader::TooLarge() const { return this->impl->too_large; }
std::size_t AnswerReader::BodySize() const {
  return this->impl->answer.body.size();
}
HttpAnswer AnswerReader::Take() {
  this->impl->answer.headers = std::move(this->impl->collector.headers);
  return std::move(this->impl->answer);
}

}  // namespace chervilmux::net
