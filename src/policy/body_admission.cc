#include "policy/body_admission.h"

#include <algorithm>
#include <tuple>

namespace chervilmux::policy {
namespace {

using kernel::Instant;
using net::BodyCharges;
using net::BodyDecision;
using net::BodyDemand;
using net::BodyInProgress;
using net::BodyStep;

/// Share of the budget that large bodies may use. The rest is kept for short
/// requests.
constexpr double kLargeShare = 0.75;

/// A body of which nothing arrived for this long may be ended for others. Above
/// the first retransmissions of a lost packet (0.2 s, 0.4 s), and below the
/// time within which callers have to send a request (3 s).
constexpr kernel::Duration kStalledTime = kernel::seconds(1);

bool IsStalled(const BodyInProgress& body, Instant now) {
  return !body.paused && now >= body.progressed_at + kStalledTime;
}

/// Whether a short body fits into the share that large ones leave. `large`:
/// what large bodies are charged with.
bool FitsReserve(const BodyCharges& charges, const BodyDemand& demand,
                 std::size_t large) {
  const std::size_t sum = charges.total - large + demand.bytes;
  return demand.is_short &&
         static_cast<double>(sum) <=
             (1 - kLargeShare) * static_cast<double>(charges.limit);
}

/// Whether the demand fits. `ended`: charges that will have been returned.
bool Fits(const BodyCharges& charges, const BodyDemand& demand,
          std::size_t ended) {
  const std::size_t sum = charges.total - ended + demand.bytes;
  if (demand.is_short) return sum <= charges.limit;
  return static_cast<double>(sum) <=
         kLargeShare * static_cast<double>(charges.limit);
}

}  // namespace

BodyDecision DecideBody(const BodyCharges& charges, const BodyDemand& demand,
                        std::span<const BodyInProgress> bodies, Instant now) {
  if (Fits(charges, demand, 0)) return {BodyStep::kRead, 0};

  std::size_t own = 0;
  std::size_t stalled = 0;
  std::size_t others = charges.whole_large;
  bool others_go_on = charges.whole_large > 0;
  const BodyInProgress* idlest = nullptr;
  const BodyInProgress* smallest = nullptr;
  const auto waste = [now](const BodyInProgress& body) {
    return static_cast<double>(body.charge) *
           kernel::ToSeconds(now - body.progressed_at);
  };
  const auto advance = [](const BodyInProgress& body) {
    return std::tuple(body.received, -body.begun.time_since_epoch().count());
  };
  for (const auto& body : bodies) {
    if (smallest == nullptr || advance(body) < advance(*smallest)) {
      smallest = &body;
    }
    if (body.connection == demand.connection) {
      own = body.charge;
      continue;
    }
    others += body.charge;
    if (!IsStalled(body, now)) {
      others_go_on = others_go_on || !body.paused;
      continue;
    }
    stalled += body.charge;
    if (idlest == nullptr || waste(body) > waste(*idlest)) idlest = &body;
  }

  if (FitsReserve(charges, demand, own + others)) return {BodyStep::kRead, 0};
  const bool may_be_alone =
      !demand.is_short && own + demand.bytes <= charges.limit_alone;
  if (may_be_alone && others == 0) return {BodyStep::kRead, 0};
  // Nothing is ended for a demand that would not fit afterwards.
  const bool fits_without_stalled =
      Fits(charges, demand, stalled) || (may_be_alone && others == stalled);
  if (idlest != nullptr && fits_without_stalled) {
    return {BodyStep::kEndOther, idlest->connection};
  }
  if (demand.is_new || (!demand.is_short && !may_be_alone)) {
    return {BodyStep::kRefuse, 0};
  }
  if (others_go_on) return {BodyStep::kPause, 0};
  // All others wait too: one must end, or none would go on.
  if (smallest == nullptr || smallest->connection == demand.connection) {
    return {BodyStep::kRefuse, 0};
  }
  return {BodyStep::kEndOther, smallest->connection};
}

}  // namespace chervilmux::policy
