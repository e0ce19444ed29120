/// \file
/// Defines what the notice world counts and how it judges the requests that
/// reach a server.

#ifndef CHERVILMUX_TEST_SCENARIO_NOTICE_JUDGE_H_
#define CHERVILMUX_TEST_SCENARIO_NOTICE_JUDGE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "notice_trial.h"

namespace chervilmux::scenario {

inline constexpr unsigned kSlots = 4;  ///< Of each server.
inline constexpr double kMeanServiceTimeS = 0.1;
/// How long a server that leaves may get requests, and runs once the store
/// knows.
inline constexpr double kDrainBoundS = 2;
/// Limits on requests beyond the first of each, over all instances.
inline constexpr double kRetryRatio = 0.2;
inline constexpr double kRetrySlack = 50;

/// What one run of an instance was told by one server.
struct ToldNotices {
  std::optional<double> drains_since;
  std::optional<double> turned_away_at;
  std::size_t within_quiet = 0;
};

/// A request that reaches a server.
struct NoticeArrival {
  double at = 0;
  double asked_at = 0;  ///< By the caller.
  double sent_at = 0;   ///< By the instance.
  bool is_repeat = false;
  unsigned server = 0;
  double quiet_until = 0;  ///< 0 for a server that asks for none.
};

class NoticeJudge {
 public:
  explicit NoticeJudge(unsigned server_count) : bursts(server_count) {}

  void OnAsked(double at) { this->asked_at.push_back(at); }
  void OnTurnedAway(ToldNotices& told, double at);
  void OnDrainNotice(ToldNotices& told, double at);
  /// `told`: by this server to the run of the instance that sent the request.
  void OnArrival(const NoticeArrival& arrival, ToldNotices& told);

  NoticeCounts Result(const NoticeTrial& trial) const;

  NoticeCounts counts;

 private:
  static constexpr std::size_t kTenths = 10;
  /// Requests at one server.
  struct Burst {
    std::array<std::size_t, kTenths> before{};  ///< By tenth of a second.
    /// In the first tenth after its quiet: of instances that it had turned
    /// away, and of all.
    std::size_t returned = 0;
    std::size_t all = 0;
  };

  void CountBurst(const NoticeArrival& arrival, bool turned_away);

  std::vector<Burst> bursts;  ///< By server.
  std::vector<double> asked_at;
  std::vector<double> repeated_at;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_NOTICE_JUDGE_H_
