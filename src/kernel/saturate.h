/// \file
/// Defines conversions of numbers from outside to integers, without the
/// undefined behaviour of a value that the integer cannot hold.

#ifndef CHERVILMUX_KERNEL_SATURATE_H_
#define CHERVILMUX_KERNEL_SATURATE_H_

#include <cmath>
#include <concepts>
#include <limits>

namespace chervilmux::kernel {

/// `number` rounded towards zero and cut to the range of `Integer`; zero if it
/// is not a number.
template <std::integral Integer>
Integer SaturateTo(double number) {
  using Limits = std::numeric_limits<Integer>;
  if (std::isnan(number)) return 0;
  // The largest integer may be rounded up to a double beyond the range.
  if (number >= static_cast<double>(Limits::max())) return Limits::max();
  if (number <= static_cast<double>(Limits::min())) return Limits::min();
  return static_cast<Integer>(number);
}

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_SATURATE_H_
