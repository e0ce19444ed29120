#include "node/claim_stagger.h"

namespace chervilmux::node {

double ClaimStagger(double processor_share, double random) {
  constexpr double kRandomPart = 0.25;
  /// An instance with this many cores has half of the other part's delay.
  constexpr double kMiddleShare = 0.2;
  const double delay = kMiddleShare / (kMiddleShare + processor_share);
  return kRandomPart * random + (1 - kRandomPart) * delay;
}

}  // namespace chervilmux::node
