#include "routing/relay_message.h"

#include <utility>

#include "net/cdr.h"

namespace chervilmux::routing {
namespace {

using kernel::ErrorKind;
using kernel::Fail;

// The first number of a frame states its type.
constexpr std::uint64_t kRequestTag = 1;
constexpr std::uint64_t kReplyTag = 2;
constexpr std::uint64_t kCancelTag = 3;

void Put(net::CdrWriter& writer, const net::Headers& headers) {
  writer.Put(headers.size());
  for (const auto& header : headers) {
    writer.PutText(header.name);
    writer.PutText(header.value);
  }
}

net::Headers GetHeaders(net::CdrReader& reader) {
  net::Headers headers;
  const std::uint64_t count = reader.Get();
  // A count beyond what the frame holds ends at its first missing header.
  for (std::uint64_t i = 0; i < count && reader.Good(); ++i) {
    net::Header header;
    header.name = reader.GetText();
    header.value = reader.GetText();
    headers.push_back(std::move(header));
  }
  return headers;
}

void PutBody(net::CdrWriter& writer, const RelayRequest& frame) {
  writer.Put(kRequestTag);
  writer.Put(frame.id);
  writer.PutText(frame.request_id);
  writer.PutText(frame.service);
  writer.PutText(frame.cell);
  writer.Put(frame.key_hash);
  writer.PutSigned(frame.remaining.count());
  writer.Put(frame.idempotent ? 1 : 0);
  writer.Put(frame.retried ? 1 : 0);
  writer.PutText(frame.request.method);
  writer.PutText(frame.request.url);
  Put(writer, frame.request.headers);
  writer.PutText(frame.request.body);
}

void PutBody(net::CdrWriter& writer, const RelayReply& frame) {
  writer.Put(kReplyTag);
  writer.Put(frame.id);
  writer.PutText(frame.request_id);
  writer.PutText(frame.reply.server);
  writer.Put(frame.reply.epoch.term);
  writer.Put(frame.reply.epoch.sequence);
  writer.Put(frame.reply.answer ? 1 : 0);
  if (!frame.reply.answer) {
    const kernel::Error& error = frame.reply.answer.error();
    writer.Put(static_cast<std::uint64_t>(error.kind));
    writer.PutText(error.detail);
    return;
  }
  const net::HttpAnswer& answer = frame.reply.answer.value();
  writer.Put(answer.status);
  Put(writer, answer.headers);
  writer.PutText(answer.body);
}

void PutBody(net::CdrWriter& writer, const RelayCancel& frame) {
  writer.Put(kCancelTag);
  writer.Put(frame.id);
}

RelayRequest GetRequest(net::CdrReader& reader) {
  RelayRequest frame;
  frame.id = reader.Get();
  frame.request_id = reader.GetText();
  frame.service = reader.GetText();
  frame.cell = reader.GetText();
  frame.key_hash = reader.Get();
  frame.remaining = kernel::Duration(reader.GetSigned());
  frame.idempotent = reader.Get() != 0;
  frame.retried = reader.Get() != 0;
  frame.request.method = reader.GetText();
  frame.request.url = reader.GetText();
  frame.request.headers = GetHeaders(reader);
  frame.request.body = reader.GetText();
  return frame;
}

kernel::Result<net::HttpAnswer> GetAnswer(net::CdrReader& reader) {
  if (reader.Get() == 0) {
    const std::uint64_t kind = reader.Get();
    std::string detail = reader.GetText();
    if (kind >= kernel::AllErrorTraits().size()) {
      return Fail(ErrorKind::kMessageMalformed,
                  "unknown error kind in relay reply");
    }
    return Fail(static_cast<ErrorKind>(kind), std::move(detail));
  }
  net::HttpAnswer answer;
  answer.status = static_cast<std::uint16_t>(reader.Get());
  answer.headers = GetHeaders(reader);
  answer.body = reader.GetText();
  return answer;
}

RelayReply GetReply(net::CdrReader& reader) {
  RelayReply frame;
  frame.id = reader.Get();
  frame.request_id = reader.GetText();
  frame.reply.server = reader.GetText();
  frame.reply.epoch.term = reader.Get();
  frame.reply.epoch.sequence = reader.Get();
  frame.reply.answer = GetAnswer(reader);
  return frame;
}

}  // namespace

std::string Encode(const RelayFrame& frame) {
  net::CdrWriter writer;
  std::visit([&](const auto& body) { PutBody(writer, body); }, frame);
  return writer.Bytes();
}

kernel::Result<RelayFrame> Decode(std::string_view bytes) {
  net::CdrReader reader(bytes);
  RelayFrame frame;
  switch (reader.Get()) {
    case kRequestTag:
      frame = GetRequest(reader);
      break;
    case kReplyTag:
      frame = GetReply(reader);
      break;
    case kCancelTag:
      frame = RelayCancel{reader.Get()};
      break;
    default:
      return Fail(ErrorKind::kMessageMalformed, "unknown relay frame tag");
  }
  if (!reader.Good()) {
    return Fail(ErrorKind::kMessageMalformed, "relay frame truncated");
  }
  return frame;
}

}  // namespace chervilmux::routing
