#include "observe/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace chervilmux::observe {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};
/// Fewer samples than this give no meaningful streaming quantile.
constexpr std::size_t kMinSamples = 16;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

std::string Series(std::string_view name, std::string_view labels) {
  std::string text(name);
  if (!labels.empty()) text += "{" + std::string(labels) + "}";
  return text;
}

}  // namespace

class Latency::Impl {
 public:
  mutable std::mutex mutex;
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
};

Latency::Latency() : impl(std::make_unique<Impl>()) {}
Latency::~Latency() = default;

void Latency::Observe(kernel::Duration duration) {
  const std::lock_guard lock(this->impl->mutex);
  this->impl->accumulator(static_cast<double>(duration.count()) / 1e6);
}

void Latency::Print(std::string_view name, std::string& text) const {
  const std::lock_guard lock(this->impl->mutex);
  const Accumulator& accumulator = this->impl->accumulator;
  std::ostringstream out;
  const std::size_t count = acc::count(accumulator);
  if (count >= kMinSamples) {
    const auto estimates = acc::extended_p_square(accumulator);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      out << name << "{quantile=\"" << kQuantiles[i] << "\"} "
          << estimates[static_cast<std::ptrdiff_t>(i)] << '\n';
    }
  }
  out << name << "_max " << (count > 0 ? acc::max(accumulator) : 0.0) << '\n'
      << name << "_sum " << acc::sum(accumulator) << '\n'
      << name << "_count " << count << '\n';
  text += out.str();
}

Counter& Metrics::Count(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(this->mutex);
  auto& counter = this->counters[{std::string(name), std::string(labels)}];
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

Latency& Metrics::Time(std::string_view name) {
  const std::lock_guard lock(this->mutex);
  auto& latency = this->latencies[std::string(name)];
  if (!latency) latency = std::make_unique<Latency>();
  return *latency;
}

void Metrics::CountError(std::string_view name, kernel::ErrorKind kind) {
  this->Count(name, Label("kind", kernel::TraitsOf(kind).name)).Add();
}

std::string Metrics::Print() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [key, counter] : this->counters) {
    text += Series(key.first, key.second) + " " +
            std::to_string(counter->Value()) + "\n";
  }
  for (const auto& [name, latency] : this->latencies) {
    latency->Print(name, text);
  }
  return text;
}

std::string Label(std::string_view label, std::string_view value) {
  std::string text(label);
  text += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  return text + "\"";
}

}  // namespace chervilmux::observe
