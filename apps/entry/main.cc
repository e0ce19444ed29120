// chervilmux-entry: one entry instance. Builds the services, registers them
// with the kernel, starts the tasks and ends them in order.

#include <curl/curl.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <thread>

#include "caller/caller_front.h"
#include "control/control_task.h"
#include "entry_settings.h"
#include "kernel/registry.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "operators/operator_front.h"
#include "routing/router_task.h"
#include "store/http_platform.h"

namespace chervilmux::entry {
namespace {

/// Callers on open connections may have sent a request that has not been read
/// yet: this long it is still accepted after the listening socket has closed.
constexpr kernel::Duration kLingerAfterQuiesce = kernel::milliseconds(300);
/// How long this instance goes on relaying while other instances and the
/// platform's balancer learn that it is leaving.
constexpr kernel::Duration kAnnounceStop = kernel::milliseconds(600);
/// The platform or a peer tells the manifest within one poll of 500 ms; without
/// either of them callers are told the truth after this.
constexpr kernel::Duration kLongestWaitForManifest = kernel::seconds(2);

/// Blocks the stop signals in this thread and its children, so that only
/// WaitForStop() takes them.
sigset_t BlockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

class Entry {
 public:
  explicit Entry(const EntrySettings& settings)
      : settings(settings),
        registered((this->registry.Add("metrics", this->metrics), true)),
        router(this->registry, Limits(settings)),
        control(this->registry, Control(settings)),
        platform(this->control, settings.platform_address,
                 settings.platform_timeout) {
    this->registry.Add(routing::RouterTask::kServiceName, this->router);
    this->registry.Add(control::ControlTask::kServiceName, this->control);
    this->registry.Add<store::Platform>("platform", this->platform);
    this->control.SetPlatform(this->registry.Find<store::Platform>("platform"));
    this->control.SetRoutingViewHandler(
        [this](std::shared_ptr<const routing::RoutingView> view) {
          const bool first = view->manifest && !this->manifest_told;
          this->router.SetRoutingView(std::move(view));
          if (!first) return;
          this->manifest_told = true;
          this->manifest_known.set_value();
        });
    this->router.SetMovingRequestsHandler(
        [this](std::string cell, ownership::RowVersion version,
               std::string server, std::size_t count) {
          this->control.RecordMovingRequests(std::move(cell), version,
                                             std::move(server), count);
        });
  }

  /// Runs until a stop signal. Returns the exit status.
  int Run(const sigset_t& stop_signals) {
    caller::CallerFront callers(this->registry, this->settings.self.name,
                                CallerOptions(this->settings));
    operators::OperatorFront operators(this->registry,
                                       this->settings.operator_address,
                                       [] { kill(getpid(), SIGUSR1); });
    if (!this->Open(callers, operators)) return EXIT_FAILURE;
    observe::LogInfo("started", {{"version", CHERVILMUX_VERSION}});
    int signal = 0;
    sigwait(&stop_signals, &signal);
    // A second signal stays blocked: it cuts nothing.
    this->StopGracefully(callers);
    operators.Stop();
    callers.Stop();
    this->router.Stop();
    this->control.Stop();
    observe::LogInfo("stopped");
    return EXIT_SUCCESS;
  }

 private:
  static routing::RouterLimits Limits(const EntrySettings& settings) {
    routing::RouterLimits limits;
    limits.max_answer_bytes = settings.max_body_bytes;
    return limits;
  }

  static control::ControlSettings Control(const EntrySettings& settings) {
    return {settings.self,         settings.failure_domain,
            settings.peer_address, settings.operator_address,
            settings.seeds,        settings.timing};
  }

  static caller::CallerFrontOptions CallerOptions(
      const EntrySettings& settings) {
    caller::CallerFrontOptions options;
    options.address = settings.caller_address;
    options.max_body_bytes = settings.max_body_bytes;
    return options;
  }

  bool Open(caller::CallerFront& callers, operators::OperatorFront& operators) {
    const auto report = [](const char* what, const kernel::Result<void>& done) {
      if (done) return true;
      std::cerr << "chervilmux-entry: " << what << ": " << done.error().detail
                << "\n";
      return false;
    };
    if (!report("--peer-address", this->control.Open())) return false;
    if (!report("--peer-address",
                this->router.Listen(this->settings.peer_address))) {
      return false;
    }
    if (!report("--operator-address", operators.Start())) return false;
    this->router.Start();
    this->control.Start();
    // Callers that come before the manifest could only be turned away.
    this->manifest_known.get_future().wait_for(kLongestWaitForManifest);
    return report("--caller-address", callers.Start());
  }

  void StopGracefully(caller::CallerFront& callers) {
    observe::LogInfo("stopping");
    const kernel::Instant give_up = kernel::Now() + this->settings.stop_timeout;
    std::promise<void> handed_over;
    this->control.BeginStop(give_up, [&] { handed_over.set_value(); });
    callers.CloseAfterAnswers();
    std::this_thread::sleep_for(kAnnounceStop);
    callers.Quiesce();
    handed_over.get_future().wait();
    std::this_thread::sleep_for(kLingerAfterQuiesce);
    auto idle = std::make_shared<std::promise<void>>();
    this->router.NotifyWhenIdle([idle] { idle->set_value(); });
    const auto left = give_up - kernel::Now();
    const auto status =
        idle->get_future().wait_for(std::max(left, kernel::Duration(0)));
    if (status != std::future_status::ready) {
      observe::LogWarn("stop_timeout");
    }
    // The last answers are on their way through the callers' server.
    std::this_thread::sleep_for(kLingerAfterQuiesce);
  }

  EntrySettings settings;
  bool manifest_told = false;  ///< Touched by the control task only.
  std::promise<void> manifest_known;
  kernel::Registry registry;
  observe::Metrics metrics;
  bool registered;
  routing::RouterTask router;
  control::ControlTask control;
  store::HttpPlatform platform;
};

}  // namespace
}  // namespace chervilmux::entry

int main(int argc, char** argv) {
  using chervilmux::entry::EntrySettings;
  using chervilmux::entry::ExitNow;
  const auto settings = chervilmux::entry::ReadEntrySettings(
      std::span<const char* const>(argv + 1, argv + argc));
  if (const auto* exit = std::get_if<ExitNow>(&settings)) return exit->status;
  const auto& ready = std::get<EntrySettings>(settings);
  const sigset_t stop_signals = chervilmux::entry::BlockStopSignals();
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  chervilmux::observe::StartLog(
      {"chervilmux-entry", ready.self.name, ready.failure_domain},
      ready.log_level);
  const int status = chervilmux::entry::Entry(ready).Run(stop_signals);
  chervilmux::observe::EndProcess(status);
}
