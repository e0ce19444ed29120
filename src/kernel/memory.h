/// \file
/// Defines what a process knows of its own memory.

#ifndef CHERVILMUX_KERNEL_MEMORY_H_
#define CHERVILMUX_KERNEL_MEMORY_H_

#include <cstddef>

namespace chervilmux::kernel {

/// Bytes of the process that are in memory; 0 where the system does not tell.
std::size_t ResidentBytes();

/// Has the allocator give large blocks back to the system as soon as they are
/// freed. Without it a burst of large messages stays resident.
void ReturnLargeBlocks();

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_MEMORY_H_
