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

constexpr std::size_t kExactSamples = 64;

std::string FormatNumber(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.10g", value);
  return buf.data();
}

std::string OtherLabel(std::string_view label) {
  return std::string(label.substr(0, label.find('='))) + "=\"other\"";
}

std::string Line(const std::string& name,
                 const std::string& labels,
                 double value) {
  return name + (labels.empty() ? "" : "{" + labels + "}") + " " +
         FormatNumber(value) + "\n";
}

// Returns the series of a label, or the one for all that exceed the bound.
template <typename T>
T& Select(std::map<std::string, T, std::less<>>& series,
          std::string_view label) {
  const auto found = series.find(label);
  if (found != series.end()) {
    return found->second;
  }
  if (series.size() >= MetricsRegistry::kMaxSeries) {
    return series[OtherLabel(label)];
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
    if (first_.size() < kExactSamples) {
      first_.push_back(sample);
    }
  }

  std::string Expose(const std::string& name, const std::string& label) const {
    std::string text;
    const std::string prefix = label.empty() ? label : label + ",";
    for (std::size_t it = 0; it < kQuantiles.size(); ++it) {
      text += Line(name,
                   prefix + "quantile=\"" + FormatNumber(kQuantiles[it]) + "\"",
                   Quantile(it));
    }
    text += Line(name + "_sum", label, accumulators::sum(accumulator_));
    text += Line(name + "_count", label,
                 static_cast<double>(accumulators::count(accumulator_)));
    return text;
  }

 private:
  // The P-square estimate is of no use for a few samples, of which the nearest
  // rank is taken instead.
  double Quantile(std::size_t index) const {
    if (accumulators::count(accumulator_) > kExactSamples) {
      return accumulators::extended_p_square(accumulator_)[index];
    }
    std::vector<double> sorted = first_;
    std::sort(sorted.begin(), sorted.end());
    const double rank =
        std::ceil(kQuantiles[index] * static_cast<double>(sorted.size()));
    return sorted.at(static_cast<std::size_t>(rank) - 1);
  }

  std::vector<double> first_;
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
  Select(counters_[std::string(name)], label) += amount;
}

void MetricsRegistry::Observe(std::string_view name,
                              std::string_view label,
                              double sample) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& distribution = Select(distributions_[std::string(name)], label);
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
  // Gauges are read without the lock, because they may take other locks.
  std::map<std::string, std::function<double()>, std::less<>> gauges;
  std::string text;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    gauges = gauges_;
    text = ExposeLocked();
  }
  for (const auto& [name, read] : gauges) {
    text += "# TYPE " + name + " gauge\n" + Line(name, "", read());
  }
  return text;
}

std::string MetricsRegistry::ExposeLocked() const {
  std::string text;
  for (const auto& [name, series] : counters_) {
    text += "# TYPE " + name + " counter\n";
    for (const auto& [label, value] : series) {
      text += Line(name, label, value);
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
