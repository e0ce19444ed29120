/// \file
/// Defines the trials of the notice world, in which many servers state at once
/// that they leave or want no requests for a while, and what is counted there.

#ifndef CHERVILMUX_TEST_SCENARIO_NOTICE_TRIAL_H_
#define CHERVILMUX_TEST_SCENARIO_NOTICE_TRIAL_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace chervilmux::scenario {

// Times in seconds since the start of a trial: callers ask from the first to
// the last of them, servers state what they want in between.
inline constexpr double kFirstAskedS = 1;
inline constexpr double kStatementS = 4;
inline constexpr double kQuietEndS = kStatementS + 2;
inline constexpr double kLastAskedS = kStatementS + 9;

/// What happens in one trial.
struct NoticeTrial {
  std::string name;
  unsigned servers = 30;
  unsigned instances = 8;
  std::uint64_t seed = 1;
  bool keyed = false;
  /// Share of all slots in use if nothing goes wrong.
  double utilization = 0.4;
  /// These shares of the servers leave, and ask for two seconds of quiet, at
  /// one instant.
  double leaving_share = 0;
  double quiet_share = 0;
  /// The store answers nobody from before that instant until long after it.
  bool store_away = false;
  /// This share of the instances restarts in the midst of the quiet.
  double restarted_share = 0;
  // What protects servers and callers; a test turns one off to show that its
  // check fails without.
  bool heeds_draining = true;
  bool heeds_back_off = true;
  bool limits_repeats = true;
  bool spreads_probes = true;
  bool tells_rest = true;  ///< Callers are told the rest of a back-off.
};

struct NoticeCounts {
  std::size_t asked = 0;   ///< Requests of callers, without their own repeats.
  std::size_t served = 0;  ///< At the first try or when the caller came back.
  std::size_t served_first = 0;
  std::size_t requests = 0;  ///< With those of callers that came back.
  std::size_t sent = 0;      ///< Requests that reached a server.
  /// Requests that reached a server from an instance that had its statement
  /// that it leaves for longer than the bound when the caller sent them.
  std::size_t past_drain_bound = 0;
  /// Requests that were sent to a server after its statement; only with keys
  /// are there any.
  std::size_t sent_to_leaving = 0;
  std::size_t drain_notices = 0;     ///< Pairs of an instance and a server.
  std::size_t back_off_notices = 0;  ///< The same for quiet.
  /// Most requests from one instance at one server from half a second after the
  /// first that was turned away until the end of the quiet.
  std::size_t most_within_quiet = 0;
  /// Most arrivals beyond the first of each request in ten seconds, less what
  /// the limits allow; below zero is within them.
  double repeats_over_limit = 0;
  std::size_t repeats = 0;
  /// Most requests at one server in the first 100 ms after its quiet, per slot:
  /// from the instances that it turned away, and from all.
  double most_returned_per_slot = 0;
  double most_after_quiet_per_slot = 0;
  /// The same from all instances in any tenth of the second before.
  double most_before_per_slot = 0;
  /// Refusals that told a caller to come back before its server's quiet ended.
  std::size_t told_too_early = 0;
  std::size_t told = 0;  ///< Refusals because of quiet.
  std::size_t messages = 0;
  /// Requests, answers and lists that an instance sent and got, a second.
  double messages_per_instance = 0;

  double ServedShare() const;
  double ServedFirstShare() const;
  double RepeatsPerRequest() const;
};

/// The trials of one size: leave, quiet, both with the store away, both with
/// the store away and a quarter of the instances restarted.
inline constexpr std::size_t kNoticeTrialCount = 4;
NoticeTrial MakeNoticeTrial(std::size_t number, unsigned servers,
                            unsigned instances, bool keyed, std::uint64_t seed);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_NOTICE_TRIAL_H_
