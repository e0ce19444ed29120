/// \file
/// Defines which instances pass a message on to which others, so that a message
/// from one instance reaches all without any of them sending more than a few
/// copies, whatever their number.

#ifndef CHERVILMUX_NODE_FAN_OUT_H_
#define CHERVILMUX_NODE_FAN_OUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmux::node {

/// A tree over all instances in order of their names, rooted at the sender. All
/// instances that know the same names compute the same tree.
class FanOutTree {
 public:
  /// Copies that one instance sends.
  static constexpr std::size_t kDegree = 8;

  /// `names` is in ascending order. The tree of a `root` that is not in it has
  /// no children.
  FanOutTree(std::vector<std::string> names, std::string_view root);

  /// The instances to which `name` passes the message on.
  std::vector<std::string> Children(std::string_view name) const;

 private:
  std::vector<std::string> names;
  std::size_t root_index;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_FAN_OUT_H_
