#include "policy/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::ToSeconds;

/// Assumed mean service time until the first answer of a service arrives.
constexpr double kDefaultServiceTimeS = 0.1;
/// The weights of a service-time estimate and of a failure share halve whenever
/// this time passes without a new sample, so that a server that has recovered
/// is tried again.
constexpr double kEstimateHalfLifeS = 2.0;
/// Weight of the newest reported load in the mean over all servers.
constexpr double kOtherLoadGain = 0.05;
/// Service time that is assumed for a server without recent answers, relative
/// to the mean. It is below 1, because a server that was slow once would
/// otherwise never be tried again.
constexpr double kNoRecentAnswerFactor = 0.8;
/// Upper bound of the failure share that enters the expected latency.
constexpr double kMaxCountedFailureShare = 0.8;
/// Number of answers after which a server's own average and the mean of the
/// service have equal weight in the relative speed.
constexpr double kMeanWeightInAnswers = 4;
/// Bounds of the pace that counts: a figure beyond them is an error.
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;

void UpdateMovingAverage(double& average, double sample, double gain) {
  average = average <= 0 ? sample : average + gain * (sample - average);
}

double SlotsOf(const ServerRecord& server) {
  return std::max(1U, server.listed.slots);
}

}  // namespace

void LoadEstimator::OnReport(ServerRecord& server, const ReportedLoad& reported,
                             Instant now) {
  const double all = reported.running + reported.waiting;
  server.other_instances_load = std::max(0.0, all - server.in_flight);
  server.reported_at = now;
  server.pace = std::clamp(reported.pace, kMinPace, kMaxPace);
  server.pace_at = now;
  if (reported.slots > 0) server.listed.slots = reported.slots;
  const double other_load_per_slot =
      server.other_instances_load / SlotsOf(server);
  this->mean_other_load_per_slot +=
      kOtherLoadGain * (other_load_per_slot - this->mean_other_load_per_slot);
  this->mean_other_load_at = now;
}

void LoadEstimator::OnServed(ServerRecord& server, Duration latency,
                             double oversubscription, double pace,
                             Instant now) {
  const double service_time =
      ToSeconds(latency) /
      (oversubscription * std::clamp(pace, kMinPace, kMaxPace));
  // An old average decays before the new sample is added, with the same
  // weights as in the choice of a server.
  if (server.service_time_s > 0)
    server.service_time_s = this->AgedServiceTime(server, now);
  const double gain = this->tuning.latency_gain;
  UpdateMovingAverage(server.service_time_s, service_time, gain);
  UpdateMovingAverage(server.long_term_service_time_s, service_time, gain);
  server.answer_count += 1;
  UpdateMovingAverage(this->mean_service_time_s, service_time, gain / 4);
  server.service_time_at = now;
}

double LoadEstimator::ReportWeight(const ServerRecord& server,
                                   Instant now) const {
  if (server.reported_at == kernel::kNever) return 0;
  return std::exp2(-ToSeconds(now - server.reported_at) /
                   ToSeconds(this->tuning.reported_load_half_life));
}

/// The mean decays without reports: while all servers count as full, no request
/// is sent that could bring a new one.
double LoadEstimator::MeanOtherLoad(const ServerRecord& server,
                                    Instant now) const {
  if (this->mean_other_load_at == kernel::kNever) return 0;
  const double age = ToSeconds(now - this->mean_other_load_at);
  return this->mean_other_load_per_slot * server.listed.slots *
         std::exp2(-age / kEstimateHalfLifeS);
}

double LoadEstimator::Load(const ServerRecord& server, Instant now) const {
  const double weight = this->ReportWeight(server, now);
  return server.in_flight + server.other_instances_load * weight +
         this->MeanOtherLoad(server, now) * (1 - weight);
}

double LoadEstimator::ReportedLoadOfOthers(const ServerRecord& server,
                                           Instant now) const {
  return server.other_instances_load * this->ReportWeight(server, now);
}

double LoadEstimator::Oversubscription(const ServerRecord& server,
                                       Instant now) const {
  return std::max(1.0, this->Load(server, now) / SlotsOf(server));
}

double LoadEstimator::MaxLoad(const ServerRecord& server, Instant now) const {
  const double waiting_per_slot = this->tuning.max_waiting_per_slot /
                                  std::max(1.0, this->Pace(server, now));
  return server.listed.slots * (1 + waiting_per_slot);
}

double LoadEstimator::Pace(const ServerRecord& server, Instant now) const {
  if (server.pace_at == kernel::kNever) return 1;
  const double weight = std::exp2(-ToSeconds(now - server.pace_at) /
                                  ToSeconds(this->tuning.pace_half_life));
  return 1 + (server.pace - 1) * weight;
}

double LoadEstimator::AgedServiceTime(const ServerRecord& server,
                                      Instant now) const {
  const double mean = ToSeconds(this->MeanServiceTime());
  double service_time = kNoRecentAnswerFactor * mean;
  if (server.service_time_s > 0) {
    const double weight = std::exp2(-ToSeconds(now - server.service_time_at) /
                                    kEstimateHalfLifeS);
    service_time = server.service_time_s * weight +
                   kNoRecentAnswerFactor * mean * (1 - weight);
  }
  return service_time;
}

double LoadEstimator::ServiceTime(const ServerRecord& server,
                                  Instant now) const {
  const double service_time = this->AgedServiceTime(server, now);
  return now < server.warm_up_until
             ? service_time * this->tuning.warm_up_slowdown
             : service_time;
}

/// The failure share decays with the age of the last failure, so that a server
/// that has recovered is tried again.
double LoadEstimator::AgedFailureShare(const ServerRecord& server,
                                       Instant now) const {
  if (server.last_failed_at == kernel::kNever) return 0;
  const double age = ToSeconds(now - server.last_failed_at);
  return std::min(kMaxCountedFailureShare,
                  server.failure_share * std::exp2(-age / kEstimateHalfLifeS));
}

double LoadEstimator::ExpectedLatency(const ServerRecord& server,
                                      Instant now) const {
  const double oversubscription =
      (this->Load(server, now) + 1) / SlotsOf(server);
  // A server that fails some of its requests causes further attempts.
  const double expected_attempts =
      1 / (1 - this->AgedFailureShare(server, now));
  return this->ServiceTime(server, now) * this->Pace(server, now) *
         std::max(1.0, oversubscription) * expected_attempts;
}

double LoadEstimator::RelativeSpeed(const ServerRecord& server,
                                    Instant now) const {
  if (this->mean_service_time_s <= 0) return 1;
  constexpr double kMinRelativeSpeed = 0.4;
  constexpr double kMaxRelativeSpeed = 2.5;
  // With few answers, the estimate stays close to the mean of the service.
  const double answer_weight = server.answer_count;
  const double service_time =
      (server.long_term_service_time_s * answer_weight +
       this->mean_service_time_s * kMeanWeightInAnswers) /
      (answer_weight + kMeanWeightInAnswers);
  const double slowdown =
      now < server.warm_up_until ? this->tuning.warm_up_slowdown : 1;
  return std::clamp(this->mean_service_time_s / (service_time * slowdown),
                    kMinRelativeSpeed, kMaxRelativeSpeed);
}

double LoadEstimator::MaxThroughput(const ServerRecord& server,
                                    Instant now) const {
  return server.listed.slots * this->RelativeSpeed(server, now) /
         (ToSeconds(this->MeanServiceTime()) * this->Pace(server, now));
}

Duration LoadEstimator::MeanServiceTime() const {
  return FromSeconds(this->mean_service_time_s > 0 ? this->mean_service_time_s
                                                   : kDefaultServiceTimeS);
}

LoadEstimate LoadEstimator::Describe(const ServerRecord& server,
                                     Instant now) const {
  LoadEstimate estimate;
  estimate.requests = this->Load(server, now);
  estimate.in_flight = server.in_flight;
  estimate.pace = this->Pace(server, now);
  if (server.reported_at != kernel::kNever) {
    estimate.report_age = now - server.reported_at;
  }
  return estimate;
}

}  // namespace chervilmux::policy
