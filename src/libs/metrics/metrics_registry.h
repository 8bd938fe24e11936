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

// The counters and distributions of one process, written out in the text format
// of Prometheus. Safe from any thread. The number of series of one name is
// bounded; values of further labels are added to the label "other".
class MetricsRegistry {
 public:
  static constexpr std::string_view kServiceName = "metrics.registry";
  static constexpr std::size_t kMaxSeries = 64;

  MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;
  ~MetricsRegistry();

  // Adds to a counter. `label` has the form `tier="urgent"`, or is empty; use
  // Label() for values from outside.
  void Add(std::string_view name, std::string_view label, double amount = 1);

  // Adds a sample to a distribution (count, sum and the 50th, 95th and 99th
  // percentile, estimated by the P-square algorithm).
  void Observe(std::string_view name, std::string_view label, double sample);

  // Sets a function that gives a gauge's value at the time of writing.
  void SetGauge(std::string_view name, std::function<double()> read);

  // Writes all series, sorted by name and label.
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

// Formats a label and escapes its value.
std::string Label(std::string_view name, std::string_view value);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_METRICS_METRICS_REGISTRY_H_
