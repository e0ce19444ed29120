#include "policy/admission.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::milliseconds;
using kernel::ToSeconds;

/// Period over which completions are counted for one sample of the rate.
constexpr Duration kRateWindow = milliseconds(250);
/// Weight of the newest sample in the moving average.
constexpr double kRateGain = 0.4;
/// Bounds of the Retry-After delay. The minimum is a few round trips to
/// callers; the maximum keeps a short overload from turning callers away for
/// long.
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kMaxRetryAfter = milliseconds(1000);

}  // namespace

void CompletionRate::OnCompletion(Instant now) {
  if (this->window_start == kernel::kNever) this->window_start = now;
  this->completions_in_window += 1;
  const Duration span = now - this->window_start;
  if (span < kRateWindow) return;
  const double sample =
      static_cast<double>(this->completions_in_window) / ToSeconds(span);
  this->rate =
      this->rate <= 0 ? sample : this->rate + kRateGain * (sample - this->rate);
  this->window_start = now;
  this->completions_in_window = 0;
}

double CompletionRate::PerSecond(Instant now) const {
  if (this->window_start == kernel::kNever) return 0;
  // No completion has closed the window for at least two periods: the rate has
  // fallen, and the open window bounds it from above.
  const double span = ToSeconds(now - this->window_start);
  if (span < 2 * ToSeconds(kRateWindow)) return this->rate;
  const double sample =
      static_cast<double>(this->completions_in_window + 1) / span;
  return std::min(this->rate, sample);
}

Duration ExpectedWait(const QueueState& state) {
  if (state.completions_per_second <= 0) return state.service_time;
  return FromSeconds(static_cast<double>(state.requests_ahead + 1) /
                     state.completions_per_second);
}

bool ShouldQueue(const QueueState& state, Duration time_left) {
  const Duration wait = ExpectedWait(state);
  return wait <= state.max_wait && wait + state.service_time <= time_left;
}

Duration RetryAfter(Duration expected_wait, double random) {
  const Duration base =
      std::clamp<Duration>(expected_wait, kMinRetryAfter, kMaxRetryAfter);
  constexpr double kMinFactor = 0.75;
  constexpr double kFactorRange = 0.5;
  return FromSeconds(ToSeconds(base) * (kMinFactor + kFactorRange * random));
}

Duration RetryAfterBackOff(Duration rest, double random) {
  constexpr Duration kMinSpread = milliseconds(250);
  const Duration spread = std::max<Duration>(rest / 2, kMinSpread);
  return rest + FromSeconds(ToSeconds(spread) * random);
}

}  // namespace chervilmux::policy
