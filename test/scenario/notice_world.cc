#include "notice_world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"
#include "notice_events.h"
#include "notice_judge.h"
#include "notice_servers.h"
#include "policy/admission.h"
#include "policy/retry_policy.h"
#include "policy/server_loads.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;
using kernel::ErrorKind;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::ToSeconds;
using policy::AttemptOutcome;

// Times in seconds since the start of the run.
constexpr double kRestartS = kStatementS + 0.8;

constexpr double kDownForS = 0.5;
constexpr double kListPeriodS = 0.5;
constexpr double kListDelayS = 0.05;
constexpr double kNetworkDelayS = 0.0015;
constexpr double kRecheckPeriodS = 0.01;
/// Share of the requests for which a connection must be opened first.
constexpr double kNewConnectionShare = 0.1;

constexpr double kTimeoutS = 1;
constexpr double kMaxWaitS = 0.12;
constexpr unsigned kMaxAttempts = 3;
constexpr unsigned kMaxReturns = 3;

// As in the dispatcher.
constexpr double kRetryBudgetShare = 0.8;
constexpr unsigned kExtraSends = 2;
constexpr unsigned kMaxFailedConnects = 3;
constexpr Duration kNotReadyRetryAfter = kernel::milliseconds(250);
constexpr Duration kNoOwnerRetryAfter = kernel::milliseconds(300);

/// A caller's request, at one instance.
struct Request {
  double first_asked_at = 0;
  unsigned returns = 0;
  unsigned key = 0;
  double asked_at = 0;
  double deadline = 0;
  double wait_deadline = 0;
  bool is_waiting = false;
  std::vector<std::string> tried;
  unsigned arrivals = 0;
  unsigned failed_connects = 0;
  std::string server_id;
  double sent_at = 0;
};
using RequestPtr = std::shared_ptr<Request>;

/// One run of an instance.
struct Run {
  Run() : loads("domain"), budget(0, 0) {}

  policy::ServerLoads loads;
  policy::RetryBudget budget;
  policy::CompletionRate rate;
  std::deque<RequestPtr> waiting;
  std::vector<unsigned> owners;
  Instant list_read_at = kernel::kNever;
  bool rechecks = false;
  bool ended = false;
  std::vector<ToldNotices> told;  ///< By server.
};
using RunPtr = std::shared_ptr<Run>;

class World {
 public:
  explicit World(const NoticeTrial& trial)
      : trial(trial),
        random(trial.seed),
        servers(trial, this->events, this->random),
        runs(trial.instances),
        judge(trial.servers) {
    for (unsigned i = 0; i < trial.instances; ++i) this->StartInstance(i);
  }

  NoticeCounts Play() {
    this->ScheduleCallers();
    this->events.At(kStatementS, [this] { this->servers.MakeStatements(); });
    this->events.At(kRestartS, [this] { this->RestartInstances(); });
    this->events.Play();
    return this->judge.Result(this->trial);
  }

 private:
  double NowS() const { return this->events.NowS(); }
  Instant Now() const { return this->events.Now(); }
  double RandomUnit() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  // Instances.

  void StartInstance(unsigned number) {
    auto run = std::make_shared<Run>();
    run->told.resize(this->servers.Count());
    run->owners = this->servers.Owners();
    const auto count = static_cast<double>(this->trial.instances);
    run->budget = policy::RetryBudget(kRetryRatio * kRetryBudgetShare,
                                      kRetrySlack * kRetryBudgetShare / count);
    if (this->trial.spreads_probes)
      run->loads.SetInstances(this->trial.instances, this->random());
    this->runs[number] = run;
    // The first list comes from the store or, while that is away, from a peer.
    run->loads.Update(this->servers.Listed(), kernel::kNever, this->Now());
    run->list_read_at = this->Now();
    this->events.After(this->RandomUnit() * kListPeriodS,
                       [this, run] { this->ReadList(run); });
  }

  void ReadList(const RunPtr& run) {
    if (run->ended || this->NowS() > kLastAskedS) return;
    this->events.After(kListPeriodS, [this, run] { this->ReadList(run); });
    if (this->servers.StoreIsAway()) return;
    this->judge.counts.messages += 2;
    this->events.After(
        kListDelayS, [this, run, listed = this->servers.Listed(),
                      owners = this->servers.Owners(), read_at = this->Now()] {
          run->loads.Update(listed, run->list_read_at, this->Now());
          run->list_read_at = read_at;
          run->owners = owners;
          this->DispatchQueue(run);
        });
  }

  void RestartInstances() {
    const auto count = static_cast<unsigned>(
        std::ceil(this->trial.restarted_share * this->trial.instances));
    for (unsigned i = 0; i < count; ++i) {
      const RunPtr run = this->runs[i];
      run->ended = true;
      for (const auto& request : run->waiting) {
        request->is_waiting = false;
        this->ComeBack(*request, kDownForS);
      }
      run->waiting.clear();
      this->events.After(kDownForS, [this, i] { this->StartInstance(i); });
    }
  }

  // The order of calls in these functions is that of the dispatcher's functions
  // of the same names.

  void Dispatch(const RunPtr& run, const RequestPtr& request) {
    if (this->FindServer(run, request) && !request->is_waiting)
      this->Enqueue(run, request);
  }

  /// Sends or refuses the request; returns true when it must wait.
  bool FindServer(const RunPtr& run, const RequestPtr& request) {
    if (this->trial.keyed) return this->FindOwner(run, request);
    policy::ServerLoads& loads = run->loads;
    const Instant at = this->Now();
    if (loads.UsableSlots(at) == 0) {
      if (const auto left = loads.ShortestBackOffLeft(at)) {
        this->RefuseUntil(request, *left, this->servers.FirstQuietEnd());
      } else {
        this->Refuse(run, request, kNotReadyRetryAfter);
      }
      return false;
    }
    const bool first = run->waiting.empty() || request->is_waiting;
    const auto chosen =
        first ? loads.ChooseServer(request->tried, at,
                                   [this] { return this->RandomUnit(); })
              : std::nullopt;
    if (!chosen) return true;
    this->Send(run, request, *chosen);
    return false;
  }

  bool FindOwner(const RunPtr& run, const RequestPtr& request) {
    policy::ServerLoads& loads = run->loads;
    const Instant at = this->Now();
    const unsigned owner_number = run->owners[request->key];
    const std::string& owner = this->servers.IdOf(owner_number);
    const auto drain_deadline = loads.DrainDeadline(owner);
    if (!loads.EstimateLoad(owner, at) ||
        (drain_deadline && at > *drain_deadline)) {
      this->Refuse(run, request, kNoOwnerRetryAfter);
      return false;
    }
    const Duration left = loads.BackOffLeft(owner, at);
    if (left.count() > 0) {
      this->RefuseUntil(request, left, this->servers.QuietUntil(owner_number));
      return false;
    }
    if (loads.IsEjected(owner, at)) {
      this->Refuse(run, request, kNoOwnerRetryAfter);
      return false;
    }
    const Duration full_for = loads.FullFor(owner, at);
    const double wait_deadline =
        request->is_waiting ? request->wait_deadline : this->NowS() + kMaxWaitS;
    if (this->NowS() + ToSeconds(full_for) > wait_deadline) {
      this->Refuse(run, request, full_for);
      return false;
    }
    if (!loads.HasCapacity(owner, at)) return true;
    this->Send(run, request, owner);
    return false;
  }

  void Enqueue(const RunPtr& run, const RequestPtr& request) {
    policy::QueueState queue;
    queue.service_time = run->loads.MeanServiceTime();
    queue.requests_ahead = run->waiting.size();
    queue.completions_per_second = run->rate.PerSecond(this->Now());
    if (this->trial.keyed) {
      const unsigned owner = run->owners[request->key];
      queue.requests_ahead = static_cast<std::size_t>(
          std::ranges::count_if(run->waiting, [&](const RequestPtr& other) {
            return run->owners[other->key] == owner;
          }));
      queue.completions_per_second =
          run->loads.MaxThroughput(this->servers.IdOf(owner), this->Now());
    }
    queue.max_wait = FromSeconds(kMaxWaitS);
    if (!policy::ShouldQueue(queue,
                             FromSeconds(request->deadline - this->NowS()))) {
      this->Refuse(run, request, policy::ExpectedWait(queue));
      return;
    }
    request->is_waiting = true;
    request->wait_deadline = this->NowS() + kMaxWaitS;
    run->waiting.push_back(request);
    this->Recheck(run);
  }

  void Recheck(const RunPtr& run) {
    if (run->rechecks) return;
    run->rechecks = true;
    this->events.After(kRecheckPeriodS, [this, run] {
      run->rechecks = false;
      this->DispatchQueue(run);
      if (!run->waiting.empty()) this->Recheck(run);
    });
  }

  void DispatchQueue(const RunPtr& run) {
    const auto waiting = run->waiting;
    for (const auto& request : waiting) {
      if (!request->is_waiting) continue;
      if (!this->FindServer(run, request)) {
        request->is_waiting = false;
        std::erase(run->waiting, request);
        continue;
      }
      if (this->NowS() >= std::min(request->wait_deadline, request->deadline)) {
        request->is_waiting = false;
        std::erase(run->waiting, request);
        this->Refuse(run, request, run->loads.MeanServiceTime());
      } else if (!this->trial.keyed) {
        return;
      }
    }
  }

  void Send(const RunPtr& run, const RequestPtr& request,
            const std::string& id) {
    run->loads.OnSent(id);
    request->server_id = id;
    request->sent_at = this->NowS();
    this->judge.counts.messages += 1;
    if (this->RandomUnit() >= kNewConnectionShare) {
      this->events.After(kNetworkDelayS,
                         [this, run, request] { this->Arrive(run, request); });
      return;
    }
    this->events.After(2 * kNetworkDelayS, [this, run, request] {
      const bool may_send = run->loads.MaySend({request->server_id, 1},
                                               this->trial.keyed, this->Now());
      if (may_send) {
        this->events.After(kNetworkDelayS, [this, run, request] {
          this->Arrive(run, request);
        });
      } else {
        this->OnNotSent(run, request, AttemptOutcome::kInconclusive);
      }
    });
  }

  void Arrive(const RunPtr& run, const RequestPtr& request) {
    const unsigned number = this->servers.NumberOf(request->server_id);
    if (!this->servers.HasEnded(number)) {
      request->arrivals += 1;
      this->judge.OnArrival({.at = this->NowS(),
                             .asked_at = request->asked_at,
                             .sent_at = request->sent_at,
                             .is_repeat = request->arrivals > 1,
                             .server = number,
                             .quiet_until = this->servers.QuietUntil(number)},
                            run->told[number]);
    }
    this->servers.Arrive(
        number, [this, run, request, number](const NoticeAnswer& answer) {
          if (answer.quiet_until)
            this->judge.OnTurnedAway(run->told[number], this->NowS());
          this->Reply(run, request, answer);
        });
  }

  void Reply(const RunPtr& run, const RequestPtr& request,
             const NoticeAnswer& answer) {
    this->events.After(kNetworkDelayS, [this, run, request, answer] {
      if (run->ended) {
        this->ComeBack(*request, kDownForS);
        return;
      }
      if (answer.reached) {
        this->judge.counts.messages += 1;
        request->tried.push_back(request->server_id);
        this->OnAnswer(run, request, answer);
        this->DispatchQueue(run);
      } else {
        request->failed_connects += 1;
        this->OnNotSent(run, request, AttemptOutcome::kUnreachable);
      }
    });
  }

  void OnNotSent(const RunPtr& run, const RequestPtr& request,
                 AttemptOutcome outcome) {
    this->RecordCompletion(*run, *request, outcome, std::nullopt);
    if (!this->RetryIfAllowed(run, request, ErrorKind::kServerConnect))
      this->Refuse(run, request, kNotReadyRetryAfter);
    this->DispatchQueue(run);
  }

  void OnAnswer(const RunPtr& run, const RequestPtr& request,
                const NoticeAnswer& answer) {
    this->OnStatements(*run, *request, answer);
    if (!answer.not_run) {
      this->RecordCompletion(*run, *request, AttemptOutcome::kServed,
                             answer.load);
      this->judge.counts.served += 1;
      if (request->returns == 0) this->judge.counts.served_first += 1;
      return;
    }
    const bool back_off =
        answer.quiet_until.has_value() && this->trial.heeds_back_off;
    this->RecordCompletion(
        *run, *request,
        back_off ? AttemptOutcome::kBackOff : AttemptOutcome::kShed,
        answer.load);
    const bool server_full = !answer.load->HasFreeSlot();
    const bool owner_full = this->trial.keyed && (server_full || back_off);
    if (!owner_full &&
        this->RetryIfAllowed(run, request, ErrorKind::kServerShed)) {
      return;
    }
    const Duration rest =
        run->loads.BackOffLeft(request->server_id, this->Now());
    if (this->trial.keyed && rest.count() > 0) {
      this->RefuseUntil(request, rest, answer.quiet_until.value_or(0));
    } else {
      this->Refuse(run, request, run->loads.MeanServiceTime());
    }
  }

  void OnStatements(Run& run, const Request& request,
                    const NoticeAnswer& answer) {
    const policy::ServerRun server{request.server_id, 1};
    if (answer.quiet_until && this->trial.heeds_back_off) {
      // What the server states is the rest at the time of its answer.
      const double rest = *answer.quiet_until - (this->NowS() - kNetworkDelayS);
      run.loads.OnBackOff(server, FromSeconds(rest), "r", this->Now());
    }
    if (!answer.draining) return;
    this->judge.OnDrainNotice(
        run.told[this->servers.NumberOf(request.server_id)], this->NowS());
    if (this->trial.heeds_draining)
      run.loads.OnDraining(server, "r", this->Now());
  }

  void RecordCompletion(Run& run, const Request& request,
                        AttemptOutcome outcome,
                        const std::optional<policy::ReportedLoad>& load) {
    run.loads.OnCompletion(request.server_id, outcome,
                           FromSeconds(this->NowS() - request.sent_at), load,
                           this->Now());
    run.rate.OnCompletion(this->Now());
  }

  bool RetryIfAllowed(const RunPtr& run, const RequestPtr& request,
                      ErrorKind failure) {
    const bool never_sent = failure == ErrorKind::kServerConnect;
    const double service_time = ToSeconds(run->loads.MeanServiceTime());
    if (this->NowS() + service_time / 2 >= request->deadline) return false;
    const bool exhausted =
        never_sent ? request->failed_connects >= kMaxFailedConnects
                   : request->tried.size() >= kMaxAttempts + kExtraSends;
    if (exhausted) return false;
    const bool is_free = never_sent || !this->trial.limits_repeats;
    if (!is_free && !run->budget.TryConsume(this->Now())) return false;
    this->Dispatch(run, request);
    return true;
  }

  void Refuse(const RunPtr& run, const RequestPtr& request,
              Duration expected_wait) {
    if (run->ended) {
      this->ComeBack(*request, kDownForS);
      return;
    }
    this->ComeBack(*request, ToSeconds(policy::RetryAfter(expected_wait,
                                                          this->RandomUnit())));
  }

  void RefuseUntil(const RequestPtr& request, Duration rest,
                   double quiet_until) {
    const double unit = this->RandomUnit();
    const double retry_after =
        ToSeconds(this->trial.tells_rest ? policy::RetryAfterBackOff(rest, unit)
                                         : policy::RetryAfter(rest, unit));
    this->judge.counts.told += 1;
    if (this->NowS() + retry_after < quiet_until)
      this->judge.counts.told_too_early += 1;
    this->ComeBack(*request, retry_after);
  }

  // Callers.

  void ScheduleCallers() {
    std::exponential_distribution<double> gap(
        this->trial.utilization * kSlots *
        static_cast<double>(this->servers.Count()) / kMeanServiceTimeS);
    double at = kFirstAskedS;
    while (at < kLastAskedS) {
      this->events.At(at, [this] {
        Request request;
        request.first_asked_at = this->NowS();
        request.key = static_cast<unsigned>(
            this->RandomUnit() *
            static_cast<double>(this->servers.Owners().size()));
        this->judge.counts.asked += 1;
        this->Ask(request);
      });
      at += gap(this->random);
    }
  }

  void ComeBack(const Request& request, double delay) {
    if (request.returns >= kMaxReturns) return;
    Request next;
    next.first_asked_at = request.first_asked_at;
    next.returns = request.returns + 1;
    next.key = request.key;
    this->events.After(delay, [this, next] { this->Ask(next); });
  }

  void Ask(const Request& asked) {
    auto request = std::make_shared<Request>(asked);
    request->asked_at = this->NowS();
    request->deadline = this->NowS() + kTimeoutS;
    RunPtr run;
    do {
      run = this->runs[static_cast<std::size_t>(
          this->RandomUnit() * static_cast<double>(this->runs.size()))];
    } while (run->ended);
    this->judge.OnAsked(this->NowS());
    run->budget.OnFirstAttempt(this->Now());
    this->Dispatch(run, request);
  }

  NoticeTrial trial;
  std::mt19937_64 random;
  NoticeEvents events;
  NoticeServers servers;
  std::vector<RunPtr> runs;  ///< Of the instances, the last of each.
  NoticeJudge judge;
};

}  // namespace

NoticeCounts PlayNotices(const NoticeTrial& trial) {
  return World(trial).Play();
}

}  // namespace chervilmux::scenario
