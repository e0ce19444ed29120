#include "kernel/memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace chervilmux::kernel {
namespace {

constexpr int kLargeBlockBytes = 128 << 10;
/// Free bytes at the end of the heap that are kept.
constexpr int kKeptBytes = 1 << 20;

}  // namespace

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

}  // namespace chervilmux::kernel
