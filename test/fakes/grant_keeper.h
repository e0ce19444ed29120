/// \file
/// Defines how a simulated backend server handles grants.
///
/// The platform states that its servers handle fenced grants in this way: they
/// refuse tokens lower than the highest one seen, and run requests only while a
/// grant is valid by their own clock.

#ifndef CHERVILMUX_TEST_FAKES_GRANT_KEEPER_H_
#define CHERVILMUX_TEST_FAKES_GRANT_KEEPER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "ownership/cell_events.h"

namespace chervilmux::fakes {

/// Grants of one server, by cell.
class ServerGrants {
 public:
  ServerGrants(std::uint64_t incarnation, bool checks_tokens)
      : incarnation(incarnation), checks_tokens(checks_tokens) {}

  /// Accepts or refuses an order when the server's clock reads `clock_us`.
  ownership::GrantReply HandleOrder(std::string_view cell,
                                    const ownership::GrantOrder& order,
                                    std::int64_t clock_us) {
    Grant& grant = this->grants[std::string(cell)];
    ownership::GrantReply reply;
    reply.token = order.token;
    reply.version = order.version;
    reply.serving = order.serving;
    reply.deadline_us = order.deadline_us;
    reply.clock_us = clock_us;
    reply.incarnation = this->incarnation;
    reply.checks_tokens = this->checks_tokens;
    const bool other_incarnation =
        order.deadline_us != 0 && order.incarnation != this->incarnation;
    const bool outdated = this->checks_tokens && order.token < grant.highest;
    reply.accepted = !other_incarnation && !outdated;
    if (reply.accepted) this->Accept(grant, order, clock_us);
    reply.highest_token = grant.highest;
    return reply;
  }

  /// Whether a request with `token` may run when the clock reads `clock_us`.
  bool MayRun(std::string_view cell, ownership::Token token,
              std::int64_t clock_us) const {
    if (!this->checks_tokens) return true;
    const auto found = this->grants.find(cell);
    if (found == this->grants.end()) return false;
    const Grant& grant = found->second;
    return token.term == grant.highest.term && token >= grant.floor &&
           clock_us < grant.deadline_us;
  }

  /// Deadline of the grant for `cell`; 0 when there is none.
  std::int64_t DeadlineOf(std::string_view cell) const {
    const auto found = this->grants.find(cell);
    return found == this->grants.end() ? 0 : found->second.deadline_us;
  }

 private:
  struct Grant {
    ownership::Token highest;
    ownership::Token floor;  ///< Requests under lower tokens are refused.
    ownership::RowVersion version;
    std::int64_t deadline_us = 0;
  };

  static void Accept(Grant& grant, const ownership::GrantOrder& order,
                     std::int64_t clock_us) {
    // Requests sent before the grant expired, or before owners changed, must
    // not run: the key may have had another owner since.
    const bool expired = grant.deadline_us <= clock_us;
    if (expired || order.version != grant.version) grant.floor = order.token;
    grant.highest = std::max(grant.highest, order.token);
    grant.version = order.version;
    grant.deadline_us = order.deadline_us;
  }

  std::uint64_t incarnation;
  bool checks_tokens;
  std::map<std::string, Grant, std::less<>> grants;
};

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_GRANT_KEEPER_H_
