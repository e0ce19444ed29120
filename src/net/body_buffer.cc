#include "net/body_buffer.h"

#include <algorithm>
#include <utility>

namespace chervilmux::net {
namespace {

constexpr std::size_t kMinBlockBytes = 1U << 10U;
constexpr std::size_t kMaxBlockBytes = 256U << 10U;
/// Each block adds this part of the size, so that little memory stays unused.
constexpr std::size_t kGrowthPart = 16;

}  // namespace

void BodyBuffer::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const bool is_full =
        this->blocks.empty() ||
        this->blocks.back().size() == this->blocks.back().capacity();
    if (is_full) {
      std::string& block = this->blocks.emplace_back();
      block.reserve(std::clamp(std::max(bytes.size(), this->size / kGrowthPart),
                               kMinBlockBytes, kMaxBlockBytes));
      this->held_bytes += block.capacity();
    }
    std::string& block = this->blocks.back();
    const std::string_view part =
        bytes.substr(0, block.capacity() - block.size());
    block += part;
    this->size += part.size();
    bytes.remove_prefix(part.size());
  }
}

std::size_t BodyBuffer::Size() const { return this->size; }

std::size_t BodyBuffer::HeldBytes() const { return this->held_bytes; }

std::string BodyBuffer::Take() {
  std::string body;
  if (this->blocks.size() == 1) {
    body = std::move(this->blocks.front());
  } else {
    body.reserve(this->size);
    for (auto& block : this->blocks) {
      body += block;
      // Both together would need twice the memory.
      block = std::string();
    }
  }
  *this = BodyBuffer();
  return body;
}

}  // namespace chervilmux::net
