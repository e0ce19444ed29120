#include "net/cdr.h"

#include <ace/Message_Block.h>

namespace chervilmux::net {

void CdrWriter::Put(std::uint64_t value) {
  this->stream.write_ulonglong(value);
}

void CdrWriter::PutSigned(std::int64_t value) {
  this->stream.write_longlong(value);
}

void CdrWriter::PutText(std::string_view text) {
  this->stream.write_ulong(static_cast<ACE_CDR::ULong>(text.size()));
  this->stream.write_char_array(text.data(),
                                static_cast<ACE_CDR::ULong>(text.size()));
}

std::string CdrWriter::Bytes() const {
  std::string bytes;
  bytes.reserve(this->stream.total_length());
  for (const ACE_Message_Block* block = this->stream.begin(); block != nullptr;
       block = block->cont()) {
    bytes.append(block->rd_ptr(), block->length());
  }
  return bytes;
}

CdrReader::CdrReader(std::string_view bytes)
    : storage(bytes), stream(this->storage.data(), this->storage.size()) {}

std::uint64_t CdrReader::Get() {
  ACE_CDR::ULongLong value = 0;
  if (!this->good || !this->stream.read_ulonglong(value)) {
    this->good = false;
    return 0;
  }
  return value;
}

std::int64_t CdrReader::GetSigned() {
  ACE_CDR::LongLong value = 0;
  if (!this->good || !this->stream.read_longlong(value)) {
    this->good = false;
    return 0;
  }
  return value;
}

std::string CdrReader::GetText() {
  ACE_CDR::ULong size = 0;
  if (!this->good || !this->stream.read_ulong(size) ||
      size > this->stream.length()) {
    this->good = false;
    return {};
  }
  std::string text(size, '\0');
  if (size > 0 && !this->stream.read_char_array(text.data(), size)) {
    this->good = false;
    return {};
  }
  return text;
}

}  // namespace chervilmux::net
