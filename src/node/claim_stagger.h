/// \file
/// Defines which instance claims a vacant lease first.

#ifndef CHERVILMUX_NODE_CLAIM_STAGGER_H_
#define CHERVILMUX_NODE_CLAIM_STAGGER_H_

namespace chervilmux::node {

/// Returns the delay of an instance's claim as a share, in [0, 1), of the
/// longest delay. Leading takes more processor time the more servers and
/// instances there are, so that instances with more of it claim earlier:
/// `processor_share` is in cores. `random` in [0, 1) separates equal ones.
double ClaimStagger(double processor_share, double random);

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_CLAIM_STAGGER_H_
