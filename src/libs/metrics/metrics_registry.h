#ifndef FLAMINGOGAUGE_LIBS_METRICS_METRICS_REGISTRY_H_
#define FLAMINGOGAUGE_LIBS_METRICS_METRICS_REGISTRY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace flamingogauge {

// The counters, distributions and gauges of one process, exposed in the
// Prometheus text format. Thread-safe. Each counter and distribution has at
// most kMaxSeries series besides "other", which collects the values of all
// further labels.
class MetricsRegistry {
 public:
  static constexpr std::string_view kServiceName = "metrics.registry";
  static constexpr std::size_t kMaxSeries = 64;

  MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;
  ~MetricsRegistry();

  // Adds to a counter. `label` has the form `tier="urgent"`, or is empty; use
  // Label() for untrusted values.
  void Add(std::string_view name, std::string_view label, double amount = 1);

  // Adds a sample to a distribution, exposed as count, sum and the 50th, 95th
  // and 99th percentiles (estimated by the P-square algorithm).
  void Observe(std::string_view name, std::string_view label, double sample);

  // Registers a gauge whose value is obtained from `read` on each Expose().
  void SetGauge(std::string_view name, std::function<double()> read);

  // Formats all counters, then distributions, then gauges, each sorted by name
  // and label.
  std::string Expose() const;

 private:
  class Distribution;
  template <typename T>
  using Series = std::map<std::string, T, std::less<>>;
  template <typename T>
  using Family = std::map<std::string, Series<T>, std::less<>>;

  std::string ExposeLocked() const;

  mutable std::mutex mutex_;
  Family<double> counters_;
  Family<std::unique_ptr<Distribution>> distributions_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

// Formats a label: escapes quotes and backslashes in the value and replaces
// newlines by spaces.
std::string Label(std::string_view name, std::string_view value);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_METRICS_METRICS_REGISTRY_H_
