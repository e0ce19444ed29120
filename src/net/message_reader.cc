#include "net/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include "net/body_buffer.h"
#include "net/message_head.h"

namespace chervilmux::net {
namespace {

using kernel::ErrorKind;

/// What http_parser gives as the length where the head has none.
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();
/// Any value but 0, 1 and 2 has http_parser end with an error after the head.
constexpr int kStopParsing = 3;

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

/// Whether `bytes`, a part of an answer's head, may become a whole one. A head
/// that ends its lines by line feeds alone never ends for us.
bool MayBecomeHead(std::string_view bytes) {
  return MayBeginAnswer(bytes) && bytes.find("\n\n") == std::string_view::npos;
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
      auto& self = OwnerOf<Impl>(parser);
      self.head_done = true;
      self.announced.reset();
      if (parser->content_length == kNoLength) return 0;
      self.announced = parser->content_length;
      self.too_large = *self.announced > self.limits.max_body_bytes;
      return self.too_large ? kStopParsing : 0;
    };
    this->settings.on_body = [](http_parser* parser, const char* at,
                                std::size_t length) {
      auto& self = OwnerOf<Impl>(parser);
      if (self.body.Size() + length > self.limits.max_body_bytes) {
        self.too_large = true;
        return 1;
      }
      self.body.Append({at, length});
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
    const auto end = this->buffer.find(kHeadEnd);
    const std::size_t head_size =
        end == std::string::npos ? this->buffer.size() : end + kHeadEnd.size();
    if (head_size > this->limits.max_head_bytes) {
      return this->Refuse(ErrorKind::kHeadersTooLarge, "head too large");
    }
    const std::string_view head(this->buffer.data(),
                                end == std::string::npos ? 0 : end);
    if (end == std::string::npos) return this->CheckBareLineFeed();
    if (const auto fault = FaultInRequestHead(head); !fault.empty()) {
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
    taken.body = this->body.Take();
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
  HttpRequest request;  ///< Without its body.
  BodyBuffer body;
  std::optional<std::size_t> announced;  ///< Size of the body.
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
  return this->impl->buffer.size() + this->impl->body.HeldBytes();
}
std::optional<BodyProgress> RequestReader::Body() const {
  if (!this->impl->head_fed || this->impl->whole) return std::nullopt;
  return BodyProgress{this->impl->body.Size(), this->impl->announced};
}
void RequestReader::Discard() {
  this->impl->buffer = std::string();
  this->impl->body = BodyBuffer();
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
      if (self.body.Size() + length > self.max_body_bytes) {
        self.too_large = true;
        return 1;
      }
      self.body.Append({at, length});
      return 0;
    };
    this->settings.on_message_complete = [](http_parser* parser) {
      OwnerOf<Impl>(parser).message_ended = true;
      http_parser_pause(parser, 1);
      return 0;
    };
  }

  ReadState Append(std::string_view bytes) {
    this->used = 0;
    this->started = this->started || !bytes.empty();
    while (!this->whole && this->used < bytes.size()) {
      const std::string_view rest = bytes.substr(this->used);
      if (this->head_fed) {
        this->used += this->Feed(rest);
      } else {
        const std::size_t taken = this->ReadHead(rest);
        this->used += taken;
        this->head_bytes += taken;
        this->invalid = this->invalid || this->head_bytes > kMaxAnswerHeadBytes;
      }
      if (this->invalid) return ReadState::kInvalid;
    }
    return this->whole ? ReadState::kComplete : ReadState::kNeedMore;
  }

  ReadState OnEnd() {
    if (this->whole) return ReadState::kComplete;
    if (!this->head_fed) return ReadState::kInvalid;
    this->Feed({});
    return this->whole ? ReadState::kComplete : ReadState::kInvalid;
  }

  /// Takes bytes of the head. Returns how many of them belong to it.
  std::size_t ReadHead(std::string_view bytes) {
    if (this->head.empty()) {
      // Empty lines before a status line are ignored.
      const auto first = bytes.find_first_not_of("\r\n");
      if (first != 0) return std::min(first, bytes.size());
    }
    const std::size_t known = this->head.size();
    this->head += bytes;
    // The empty line may have begun in an earlier piece.
    const std::size_t searched = known - std::min(known, kHeadEnd.size() - 1);
    const auto end = this->head.find(kHeadEnd, searched);
    const bool is_whole = end != std::string::npos;
    if (is_whole) this->head.resize(end + kHeadEnd.size());
    const std::size_t taken = this->head.size() - known;
    this->invalid =
        this->head.size() > kMaxAnswerHeadBytes ||
        !(is_whole ? FaultInAnswerHead({this->head.data(), end}).empty()
                   : MayBecomeHead(this->head));
    if (is_whole && !this->invalid) this->FeedHead();
    return taken;
  }

  void FeedHead() {
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->collector = HeaderCollector();
    this->head_done = false;
    this->head_fed = true;
    const std::string lines = std::exchange(this->head, std::string());
    this->Feed(lines);
    this->headers_held = net::HeldBytes(this->collector.headers);
  }

  /// Has the library read `bytes`, or the end of the connection without any.
  /// Returns how many of them belong to the message.
  std::size_t Feed(std::string_view bytes) {
    const std::size_t taken = http_parser_execute(
        &this->parser, &this->settings, bytes.data(), bytes.size());
    if (this->message_ended && this->parser.upgrade == 0) {
      this->OnMessageEnd();
    } else if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK) {
      this->invalid = true;
    }
    return taken;
  }

  void OnMessageEnd() {
    this->message_ended = false;
    this->head_fed = false;
    if (this->parser.status_code < 200) return;
    this->answer.status = static_cast<std::uint16_t>(this->parser.status_code);
    this->keep_alive = http_should_keep_alive(&this->parser) != 0;
    this->whole = true;
  }

  bool to_head;
  std::size_t max_body_bytes;
  http_parser parser{};
  http_parser_settings settings{};
  std::string head;            ///< Bytes of a head that is not whole.
  std::size_t head_bytes = 0;  ///< Of interim answers too.
  HttpAnswer answer;
  BodyBuffer body;
  HeaderCollector collector;
  std::size_t headers_held = 0;  ///< Bytes of memory.
  bool head_fed = false;         ///< The library has read the head.
  bool head_done = false;        ///< Further fields are trailers.
  bool message_ended = false;
  bool whole = false;
  bool invalid = false;
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
std::size_t AnswerReader::HeldBytes() const {
  return this->impl->head.capacity() + this->impl->headers_held +
         this->impl->body.HeldBytes();
}
HttpAnswer AnswerReader::Take() {
  this->impl->answer.body = this->impl->body.Take();
  this->impl->answer.headers = std::move(this->impl->collector.headers);
  return std::move(this->impl->answer);
}

}  // namespace chervilmux::net
