/// \file
/// Defines the options that every TCP connection of the data path gets.
///
/// A connection can go silent without a reset (a partition, a middle box that
/// lost its state). Unacknowledged data and unanswered keep-alive probes then
/// end it within seconds instead of the system's many minutes.

#ifndef CHERVILMUX_NET_TCP_H_
#define CHERVILMUX_NET_TCP_H_

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include "kernel/time.h"

namespace chervilmux::net {

/// Longest time that bytes sent to a server, a peer or the store may stay
/// unacknowledged. Three times the kernel's first retransmission (200 ms) plus
/// a round trip, so that one lost packet does not end a connection.
inline constexpr kernel::Duration kUnacknowledgedLimit =
    kernel::milliseconds(900);

/// The same for callers. No other way leads to a caller, and it acknowledges
/// late while the instance's own link is full.
inline constexpr kernel::Duration kCallerUnacknowledgedLimit =
    kernel::seconds(5);

/// Sets non-blocking mode, no delay, keep-alive probes and the limit on
/// unacknowledged bytes. Failures are logged: a connection without them works,
/// but hangs for longer.
void TuneConnection(int descriptor,
                    kernel::Duration unacknowledged = kUnacknowledgedLimit);

/// Asks the reactor for one kind of event at a handler's socket, as long as the
/// handler wants it: that the socket takes bytes, or has a new connection.
class EventWatch {
 public:
  /// `watching`: the handler is registered for `mask` already.
  EventWatch(ACE_Reactor& reactor, ACE_Event_Handler& handler,
             ACE_Reactor_Mask mask, bool watching)
      : reactor(reactor), handler(handler), mask(mask), watching(watching) {}

  void Set(bool watch);

 private:
  ACE_Reactor& reactor;
  ACE_Event_Handler& handler;
  ACE_Reactor_Mask mask;
  bool watching;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_TCP_H_
