#include "notice_trial.h"

#include <algorithm>

namespace chervilmux::scenario {
namespace {

double Share(std::size_t part, std::size_t all) {
  return static_cast<double>(part) /
         static_cast<double>(std::max<std::size_t>(1, all));
}

}  // namespace

double NoticeCounts::ServedShare() const {
  return Share(this->served, this->asked);
}

double NoticeCounts::ServedFirstShare() const {
  return Share(this->served_first, this->asked);
}

double NoticeCounts::RepeatsPerRequest() const {
  return Share(this->repeats, this->requests);
}

NoticeTrial MakeNoticeTrial(std::size_t number, unsigned servers,
                            unsigned instances, bool keyed,
                            std::uint64_t seed) {
  constexpr double kLeaving = 0.1;
  constexpr double kQuiet = 1.0 / 3;
  constexpr double kRestarted = 0.25;
  NoticeTrial trial;
  switch (number) {
    case 0:
      trial.name = "leave";
      trial.leaving_share = kLeaving;
      break;
    case 1:
      trial.name = "quiet";
      trial.quiet_share = kQuiet;
      break;
    default:
      trial.name = number == 2 ? "both, store away"
                               : "both, store away, instances restarted";
      trial.leaving_share = kLeaving;
      trial.quiet_share = kQuiet;
      trial.store_away = true;
      trial.restarted_share = number == 2 ? 0 : kRestarted;
      break;
  }
  trial.servers = servers;
  trial.instances = instances;
  trial.keyed = keyed;
  trial.seed = seed;
  return trial;
}

}  // namespace chervilmux::scenario
