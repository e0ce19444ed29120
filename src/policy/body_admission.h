/// \file
/// Defines which request bodies an instance reads while their memory is short.
///
/// Senders decide how large their bodies are and when they end. Each body is
/// therefore charged before its bytes are read, and only bodies that are not
/// whole may be ended: no server has seen anything of their requests, so that
/// "not run" is true.
///
/// Responds to the bytes that requests are charged with, at this instance.

#ifndef CHERVILMUX_POLICY_BODY_ADMISSION_H_
#define CHERVILMUX_POLICY_BODY_ADMISSION_H_

#include <span>

#include "kernel/time.h"
#include "net/body_demand.h"

namespace chervilmux::policy {

/// What to do about `demand`. `bodies` are all large bodies in progress; that
/// of the demand may be among them.
net::BodyDecision DecideBody(const net::BodyCharges& charges,
                             const net::BodyDemand& demand,
                             std::span<const net::BodyInProgress> bodies,
                             kernel::Instant now);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_BODY_ADMISSION_H_
