/// \file
/// Defines the servers of the notice world and the store that lists them.

#ifndef CHERVILMUX_TEST_SCENARIO_NOTICE_SERVERS_H_
#define CHERVILMUX_TEST_SCENARIO_NOTICE_SERVERS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "model/backend_server.h"
#include "notice_events.h"
#include "notice_trial.h"
#include "policy/server_loads.h"

namespace chervilmux::scenario {

/// What a server answers.
struct NoticeAnswer {
  bool reached = true;  ///< Otherwise no connection could be established.
  bool not_run = false;
  bool draining = false;
  std::optional<double> quiet_until;
  std::optional<policy::ReportedLoad> load;
};

/// Servers with slots, a queue and random service times, each with a few keys.
class NoticeServers {
 public:
  NoticeServers(const NoticeTrial& trial, NoticeEvents& events,
                std::mt19937_64& random);

  /// A part of the servers leaves, and a part wants quiet, from now on.
  void MakeStatements();

  /// Takes a request; `reply` is called when its answer leaves the server.
  void Arrive(unsigned number, std::function<void(const NoticeAnswer&)> reply);

  const std::string& IdOf(unsigned number) const {
    return this->servers[number].id;
  }
  unsigned NumberOf(const std::string& id) const {
    return this->numbers.at(id);
  }
  std::size_t Count() const { return this->servers.size(); }
  /// 0 for a server that wants no quiet.
  double QuietUntil(unsigned number) const {
    return this->servers[number].quiet_until;
  }
  /// When the first of the servers that all want no requests wants some.
  double FirstQuietEnd() const;
  bool HasEnded(unsigned number) const { return this->servers[number].ended; }

  // The store's view.

  bool StoreIsAway() const;
  std::vector<model::BackendServer> Listed() const;
  /// By key.
  const std::vector<unsigned>& Owners() const { return this->owners; }

 private:
  struct Server {
    std::string id;
    unsigned running = 0;
    std::deque<std::function<void()>> queued;
    bool leaving = false;
    bool ended = false;
    double quiet_until = 0;
  };

  void Leave(unsigned number);
  void StoreLeaving(unsigned number);
  unsigned AnyStayingServer();
  policy::ReportedLoad LoadOf(const Server& server) const;
  void Complete(Server& server,
                const std::function<void(const NoticeAnswer&)>& reply);
  void RunNext(Server& server);
  double RandomServiceTime();
  double RandomUnit();

  NoticeTrial trial;
  NoticeEvents& events;
  std::mt19937_64& random;
  std::vector<Server> servers;
  std::map<std::string, unsigned> numbers;  ///< Of the servers, by id.
  std::vector<model::BackendServer> stored;
  std::vector<unsigned> owners;  ///< By key.
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_NOTICE_SERVERS_H_
