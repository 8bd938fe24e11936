#include "libs/metrics/metrics_registry.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

namespace flamingogauge {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

constexpr std::size_t kMaxExactSamples = 64;

std::string FormatNumber(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.10g", value);
  return buf.data();
}

std::string OverflowLabel(std::string_view label) {
  return std::string(label.substr(0, label.find('='))) + "=\"other\"";
}

std::string FormatSample(const std::string& name,
                         const std::string& labels,
                         double value) {
  return name + (labels.empty() ? "" : "{" + labels + "}") + " " +
         FormatNumber(value) + "\n";
}

// Returns the series of a label, or the "other" series if the label is new and
// the maximum number of series is reached.
template <typename T>
T& FindOrAddSeries(std::map<std::string, T, std::less<>>& series,
                   std::string_view label) {
  const auto found = series.find(label);
  if (found != series.end()) {
    return found->second;
  }
  if (series.size() >= MetricsRegistry::kMaxSeries) {
    return series[OverflowLabel(label)];
  }
  return series[std::string(label)];
}

}  // namespace

class MetricsRegistry::Distribution {
 public:
  Distribution()
      : accumulator_(accumulators::tag::extended_p_square::probabilities =
                         kQuantiles) {}

  void Add(double sample) {
    accumulator_(sample);
    if (initial_samples_.size() < kMaxExactSamples) {
      initial_samples_.push_back(sample);
    }
  }

  std::string Expose(const std::string& name, const std::string& label) const {
    std::string text;
    const std::string prefix = label.empty() ? label : label + ",";
    for (std::size_t it = 0; it < kQuantiles.size(); ++it) {
      text += FormatSample(
          name, prefix + "quantile=\"" + FormatNumber(kQuantiles[it]) + "\"",
          Quantile(it));
    }
    text += FormatSample(name + "_sum", label, accumulators::sum(accumulator_));
    text +=
        FormatSample(name + "_count", label,
                     static_cast<double>(accumulators::count(accumulator_)));
    return text;
  }

 private:
  // The P-square estimate is inaccurate for few samples; the nearest-rank
  // percentile is used for them instead.
  double Quantile(std::size_t index) const {
    if (accumulators::count(accumulator_) > kMaxExactSamples) {
      return accumulators::extended_p_square(accumulator_)[index];
    }
    std::vector<double> sorted_samples = initial_samples_;
    std::sort(sorted_samples.begin(), sorted_samples.end());
    const double rank = std::ceil(kQuantiles[index] *
                                  static_cast<double>(sorted_samples.size()));
    return sorted_samples.at(static_cast<std::size_t>(rank) - 1);
  }

  std::vector<double> initial_samples_;
  accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count,
                          accumulators::tag::sum,
                          accumulators::tag::extended_p_square>>
      accumulator_;
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::Add(std::string_view name,
                          std::string_view label,
                          double amount) {
  std::lock_guard<std::mutex> lock(mutex_);
  FindOrAddSeries(counters_[std::string(name)], label) += amount;
}

void MetricsRegistry::Observe(std::string_view name,
                              std::string_view label,
                              double sample) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& distribution =
      FindOrAddSeries(distributions_[std::string(name)], label);
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->Add(sample);
}

void MetricsRegistry::SetGauge(std::string_view name,
                               std::function<double()> read) {
  std::lock_guard<std::mutex> lock(mutex_);
  gauges_[std::string(name)] = std::move(read);
}

std::string MetricsRegistry::Expose() const {
  // The gauge functions are called without holding the lock because they may
  // acquire other locks.
  std::map<std::string, std::function<double()>, std::less<>> gauges;
  std::string text;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    gauges = gauges_;
    text = ExposeLocked();
  }
  for (const auto& [name, read] : gauges) {
    text += "# TYPE " + name + " gauge\n" + FormatSample(name, "", read());
  }
  return text;
}

std::string MetricsRegistry::ExposeLocked() const {
  std::string text;
  for (const auto& [name, series] : counters_) {
    text += "# TYPE " + name + " counter\n";
    for (const auto& [label, value] : series) {
      text += FormatSample(name, label, value);
    }
  }
  for (const auto& [name, series] : distributions_) {
    text += "# TYPE " + name + " summary\n";
    for (const auto& [label, distribution] : series) {
      text += distribution->Expose(name, label);
    }
  }
  return text;
}

std::string Label(std::string_view name, std::string_view value) {
  std::string text(name);
  text += "=\"";
  for (const char it : value) {
    if (it == '"' || it == '\\') {
      text += '\\';
    }
    text += it == '\n' ? ' ' : it;
  }
  return text + "\"";
}

}  // namespace flamingogauge
