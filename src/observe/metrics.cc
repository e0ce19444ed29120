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
/// Upper bounds of the histogram's buckets, in seconds: from a hop between
/// instances to the longest deadline of a caller.
constexpr std::array<double, 10> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1,
                                            0.25,  0.5,  1,     2.5,  5};
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

/// `labels` with one more.
std::string With(std::string_view labels, std::string_view label,
                 double value) {
  std::ostringstream text;
  text << labels << (labels.empty() ? "" : ",") << label << "=\"" << value
       << '"';
  return text.str();
}

}  // namespace

class Latency::Impl {
 public:
  mutable std::mutex mutex;
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
  std::array<std::size_t, kBounds.size()> within{};  ///< Of each bound.
};

Latency::Latency() : impl(std::make_unique<Impl>()) {}
Latency::~Latency() = default;

void Latency::Observe(kernel::Duration duration) {
  const std::lock_guard lock(this->impl->mutex);
  const double seconds = static_cast<double>(duration.count()) / 1e6;
  this->impl->accumulator(seconds);
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    if (seconds <= kBounds[i]) this->impl->within[i] += 1;
  }
}

void Latency::Print(std::string_view name, std::string_view labels,
                    std::string& text) const {
  const std::lock_guard lock(this->impl->mutex);
  const Accumulator& accumulator = this->impl->accumulator;
  const std::string base(name);
  std::ostringstream out;
  const std::size_t count = acc::count(accumulator);
  if (count >= kMinSamples) {
    const auto estimates = acc::extended_p_square(accumulator);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      out << Series(name, With(labels, "quantile", kQuantiles[i])) << ' '
          << estimates[static_cast<std::ptrdiff_t>(i)] << '\n';
    }
  }
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    out << Series(base + "_bucket", With(labels, "le", kBounds[i])) << ' '
        << this->impl->within[i] << '\n';
  }
  out << Series(base + "_max", labels) << ' '
      << (count > 0 ? acc::max(accumulator) : 0.0) << '\n'
      << Series(base + "_sum", labels) << ' ' << acc::sum(accumulator) << '\n'
      << Series(base + "_count", labels) << ' ' << count << '\n';
  text += out.str();
}

Counter& Metrics::Count(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(this->mutex);
  auto& counter = this->counters[{std::string(name), std::string(labels)}];
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

Latency& Metrics::Time(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(this->mutex);
  auto& latency = this->latencies[{std::string(name), std::string(labels)}];
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
  for (const auto& [key, latency] : this->latencies) {
    latency->Print(key.first, key.second, text);
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
