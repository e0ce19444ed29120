#include "notice_judge.h"

#include <algorithm>

namespace chervilmux::scenario {
namespace {

constexpr double kQuietSettleS = 0.5;
constexpr double kTenthS = 0.1;
constexpr double kRetryWindowS = 10;

}  // namespace

void NoticeJudge::OnTurnedAway(ToldNotices& told, double at) {
  if (told.turned_away_at) return;
  told.turned_away_at = at;
  this->counts.back_off_notices += 1;
}

void NoticeJudge::OnDrainNotice(ToldNotices& told, double at) {
  if (told.drains_since) return;
  told.drains_since = at;
  this->counts.drain_notices += 1;
}

void NoticeJudge::OnArrival(const NoticeArrival& arrival, ToldNotices& told) {
  this->counts.sent += 1;
  if (arrival.is_repeat) this->repeated_at.push_back(arrival.at);
  if (told.drains_since) {
    const double since = *told.drains_since;
    if (arrival.asked_at > since + kDrainBoundS)
      this->counts.past_drain_bound += 1;
    if (arrival.sent_at > since) this->counts.sent_to_leaving += 1;
  }
  const bool within_quiet = told.turned_away_at &&
                            arrival.at < arrival.quiet_until &&
                            arrival.at >= *told.turned_away_at + kQuietSettleS;
  if (within_quiet) {
    told.within_quiet += 1;
    this->counts.most_within_quiet =
        std::max(this->counts.most_within_quiet, told.within_quiet);
  }
  this->CountBurst(arrival, told.turned_away_at.has_value());
}

void NoticeJudge::CountBurst(const NoticeArrival& arrival, bool turned_away) {
  const auto count = [](std::size_t& requests, double& most) {
    requests += 1;
    most = std::max(most, static_cast<double>(requests) / kSlots);
  };
  Burst& burst = this->bursts[arrival.server];
  const double before = (kStatementS - arrival.at) / kTenthS;
  if (before > 0 && before < kTenths) {
    count(burst.before[static_cast<std::size_t>(before)],
          this->counts.most_before_per_slot);
  }
  const bool after_quiet = arrival.quiet_until > 0 &&
                           arrival.at >= arrival.quiet_until &&
                           arrival.at < arrival.quiet_until + kTenthS;
  if (!after_quiet) return;
  count(burst.all, this->counts.most_after_quiet_per_slot);
  if (turned_away) count(burst.returned, this->counts.most_returned_per_slot);
}

NoticeCounts NoticeJudge::Result(const NoticeTrial& trial) const {
  NoticeCounts result = this->counts;
  result.requests = this->asked_at.size();
  result.repeats = this->repeated_at.size();
  result.messages_per_instance = static_cast<double>(this->counts.messages) /
                                 trial.instances / (kLastAskedS - kFirstAskedS);
  const auto within = [](const std::vector<double>& times, double from) {
    return static_cast<double>(std::ranges::count_if(times, [&](double at) {
      return at >= from && at < from + kRetryWindowS;
    }));
  };
  result.repeats_over_limit = -kRetrySlack;
  constexpr int kStepsPerS = 4;
  for (int step = 0; step < kLastAskedS * kStepsPerS; ++step) {
    const double from = static_cast<double>(step) / kStepsPerS;
    const double allowed =
        kRetryRatio * within(this->asked_at, from) + kRetrySlack;
    result.repeats_over_limit = std::max(
        result.repeats_over_limit, within(this->repeated_at, from) - allowed);
  }
  return result;
}

}  // namespace chervilmux::scenario
