#include <doctest/doctest.h>

#include <string>

#include "libs/metrics/metrics_registry.h"

namespace flamingogauge {
namespace {

// Guards against wrong sums, and against label values that are not escaped.
TEST_CASE("MetricsRegistry writes counters, distributions and gauges") {
  MetricsRegistry registry;
  registry.Add("requests_total", Label("tier", "a\"b\n"), 2);
  registry.Add("requests_total", Label("tier", "a\"b\n"));
  for (int it = 1; it <= 1000; ++it) {
    registry.Observe("seconds", "", it);
  }
  registry.SetGauge("open", [] { return 7.0; });
  const std::string text = registry.Expose();
  CHECK(text.find("requests_total{tier=\"a\\\"b \"} 3\n") != std::string::npos);
  CHECK(text.find("seconds_count 1000\n") != std::string::npos);
  CHECK(text.find("seconds_sum 500500\n") != std::string::npos);
  CHECK(text.find("seconds{quantile=\"0.95\"} 95") != std::string::npos);
  CHECK(text.find("# TYPE open gauge\nopen 7\n") != std::string::npos);
}

// Guards against inaccurate quantile estimates for a small number of samples.
TEST_CASE("MetricsRegistry gives exact quantiles of a few samples") {
  MetricsRegistry registry;
  for (const double it : {5.0, 1.0, 3.0}) {
    registry.Observe("seconds", "", it);
  }
  const std::string text = registry.Expose();
  CHECK(text.find("seconds{quantile=\"0.5\"} 3\n") != std::string::npos);
  CHECK(text.find("seconds{quantile=\"0.99\"} 5\n") != std::string::npos);
}

// Guards against unbounded memory use with many label values.
TEST_CASE("MetricsRegistry bounds the number of series") {
  MetricsRegistry registry;
  for (int it = 0; it < 1000; ++it) {
    registry.Add("n", Label("key", std::to_string(it)));
  }
  const std::string text = registry.Expose();
  // 64 labels (kMaxSeries) have their own series; "other" counts the rest.
  CHECK(text.find("n{key=\"other\"} 936\n") != std::string::npos);
  CHECK(text.find("key=\"900\"") == std::string::npos);
}

}  // namespace
}  // namespace flamingogauge
