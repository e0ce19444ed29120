#include "policy/admission.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::milliseconds;
using kernel::ToSeconds;

/// Span over which finished requests are counted.
constexpr Duration kRateWindow = milliseconds(250);
/// Weight of the newest window.
constexpr double kRateGain = 0.4;
/// Bounds of the hint to callers. The lower one is a few round trips to
/// callers; the upper one keeps a short overload from sending them away.
constexpr Duration kSoonest = milliseconds(50);
constexpr Duration kLatest = milliseconds(1000);

}  // namespace

void CompletionRate::OnCompletion(Instant now) {
  if (this->window_start == kernel::kNever) this->window_start = now;
  this->done_in_window += 1;
  const Duration span = now - this->window_start;
  if (span < kRateWindow) return;
  const double sample =
      static_cast<double>(this->done_in_window) / ToSeconds(span);
  this->rate =
      this->rate <= 0 ? sample : this->rate + kRateGain * (sample - this->rate);
  this->window_start = now;
  this->done_in_window = 0;
}

double CompletionRate::PerSecond(Instant now) const {
  if (this->window_start == kernel::kNever) return 0;
  // A window that goes on for long without an end says that the rate fell.
  const double span = ToSeconds(now - this->window_start);
  if (span < 2 * ToSeconds(kRateWindow)) return this->rate;
  const double sample = static_cast<double>(this->done_in_window + 1) / span;
  return std::min(this->rate, sample);
}

Duration ExpectedWait(const QueueState& state) {
  if (state.completions_per_second <= 0) return state.service_time;
  return FromSeconds(static_cast<double>(state.requests_ahead + 1) /
                     state.completions_per_second);
}

bool ShouldQueue(const QueueState& state, Duration left) {
  const Duration wait = ExpectedWait(state);
  return wait <= state.max_wait && wait + state.service_time <= left;
}

Duration RetryAfter(Duration expected_wait, double random) {
  const Duration base = std::clamp<Duration>(expected_wait, kSoonest, kLatest);
  constexpr double kLeast = 0.75;
  constexpr double kSpread = 0.5;
  return FromSeconds(ToSeconds(base) * (kLeast + kSpread * random));
}

}  // namespace chervilmux::policy
