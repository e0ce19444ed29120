/// \file
/// Defines which servers of a service without keys an instance prefers.
///
/// Where instances and servers are many, a pair of them rarely meets: each
/// request opens a connection, and what an instance knows of a server's load is
/// old. So each instance prefers a subset of the servers. The servers of a
/// failure domain stand on a ring in an order of their own; the instances are
/// spread evenly over it, and each prefers the servers that follow its place.
/// All instances compute their subsets from lists that they have, each server
/// is in about equally many subsets, and joins and losses of either side move
/// few pairs. Subsets answer steady load; a server outside of one is chosen
/// where those in it are busy, full or not usable.

#ifndef CHERVILMUX_POLICY_SERVER_SUBSET_H_
#define CHERVILMUX_POLICY_SERVER_SUBSET_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace chervilmux::policy {

/// The place of an instance among those that share the servers with it, in an
/// order that all of them know.
struct SubsetPosition {
  std::size_t index = 0;
  std::size_t instances = 1;

  bool operator==(const SubsetPosition&) const = default;
};

/// Returns the servers among `ids` that the instance at `position` prefers.
std::vector<std::string_view> ServerSubset(std::vector<std::string_view> ids,
                                           const SubsetPosition& position);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_SUBSET_H_
