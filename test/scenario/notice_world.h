/// \file
/// Defines a world in virtual time in which many servers state at once that
/// they leave, or that they want no requests for a while, beside an outage of
/// the store and restarts of instances. Instances decide with the code of
/// policy/, in the order in which the dispatcher calls it; servers, the store
/// and callers are simulated.

#ifndef CHERVILMUX_TEST_SCENARIO_NOTICE_WORLD_H_
#define CHERVILMUX_TEST_SCENARIO_NOTICE_WORLD_H_

#include "notice_trial.h"

namespace chervilmux::scenario {

NoticeCounts PlayNotices(const NoticeTrial& trial);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_NOTICE_WORLD_H_
