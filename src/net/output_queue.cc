#include "net/output_queue.h"

#include <utility>

namespace chervilmux::net {
namespace {

/// Smaller pieces are joined, so that a message leaves in one call.
constexpr std::size_t kJoinedBytes = 16U << 10U;

/// Large enough for the allocator to give it back to the system.
constexpr std::size_t kBlockBytes = 256U << 10U;

}  // namespace

void OutputQueue::Append(std::string bytes) {
  if (bytes.empty()) return;
  this->held_bytes += bytes.size();
  if (!this->pieces.empty() &&
      this->pieces.back().size() + bytes.size() <= kJoinedBytes) {
    this->pieces.back() += bytes;
  } else {
    this->pieces.push_back(std::move(bytes));
  }
}

void OutputQueue::AppendInBlocks(std::string bytes) {
  std::string_view rest = bytes;
  for (; rest.size() > kBlockBytes; rest.remove_prefix(kBlockBytes))
    this->Append(std::string(rest.substr(0, kBlockBytes)));
  this->Append(rest.size() == bytes.size() ? std::move(bytes)
                                           : std::string(rest));
}

std::string_view OutputQueue::Next() const {
  return std::string_view(this->pieces.front()).substr(this->sent_of_first);
}

void OutputQueue::Consume(std::size_t sent) {
  this->sent_of_first += sent;
  std::string& first = this->pieces.front();
  const std::size_t size = first.size();
  if (this->sent_of_first == size) {
    this->held_bytes -= size;
    this->pieces.pop_front();
    this->sent_of_first = 0;
  } else if (size > kJoinedBytes && this->sent_of_first > size / 2) {
    // Who takes a large message slowly does not hold all of it to the end.
    first = std::string(this->Next());
    this->held_bytes -= this->sent_of_first;
    this->sent_of_first = 0;
  }
}

void OutputQueue::Clear() { *this = OutputQueue(); }

}  // namespace chervilmux::net
