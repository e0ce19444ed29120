/// \file
/// Defines the metrics of one process and their text format.
///
/// Counters and gauges are atomics that any task may change; latencies are kept
/// as streaming quantiles (Boost.Accumulators), so that memory stays constant.
/// The text is what common scrapers read: "name{labels} value" lines.

#ifndef CHERVILMUX_OBSERVE_METRICS_H_
#define CHERVILMUX_OBSERVE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/error.h"
#include "kernel/time.h"

namespace chervilmux::observe {

/// A number that only grows, or (SetTo) a gauge.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { this->value += amount; }
  void SetTo(std::uint64_t amount) { this->value = amount; }
  std::uint64_t Value() const { return this->value; }

 private:
  std::atomic<std::uint64_t> value = 0;
};

/// Streaming quantiles and a histogram of a duration, in seconds.
class Latency {
 public:
  Latency();
  ~Latency();
  void Observe(kernel::Duration duration);
  /// Appends the text lines of this latency.
  void Print(std::string_view name, std::string_view labels,
             std::string& text) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

class Metrics {
 public:
  /// The counter of this name and label text (like `reason="shed"`); created
  /// at zero on first use. The reference stays valid.
  Counter& Count(std::string_view name, std::string_view labels = "");

  /// The latency of this name and label text; created on first use.
  Latency& Time(std::string_view name, std::string_view labels = "");

  /// Counts one failure under `name` with its kind as the label `kind`.
  void CountError(std::string_view name, kernel::ErrorKind kind);

  /// Everything, in the scrapers' text format.
  std::string Print() const;

 private:
  mutable std::mutex mutex;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Counter>>
      counters;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Latency>>
      latencies;
};

/// A name as one label: `label="value"`, escaped.
std::string Label(std::string_view label, std::string_view value);

}  // namespace chervilmux::observe

#endif  // CHERVILMUX_OBSERVE_METRICS_H_
