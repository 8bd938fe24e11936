#include "libs/dispatching/service_rate.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr double kMinPerSecond = 1;
constexpr milliseconds kWindow{2000};
// The time in which few placements were made does not show the rate.
constexpr milliseconds kMinWindow{500};

}  // namespace

double ServiceRates::LeftFor(int priority, bool is_late) const {
  double left = total;
  for (const auto& [other, per_second] : placed_on_time) {
    if (is_late || other < priority) {
      left -= per_second;
    }
  }
  return std::max(kMinPerSecond, left);
}

void ServiceRate::OnPlaced(int priority, bool is_on_time, MonotonicTime now) {
  placed_.push_back({.at = now,
                     .priority = priority,
                     .is_on_time = is_on_time,
                     .places = places_});
  while (now - placed_.front().at > kWindow) {
    placed_.pop_front();
  }
}

ServiceRates ServiceRate::Measure(MonotonicTime now) const {
  ServiceRates rates{.total = std::max(kMinPerSecond, limited_rate_)};
  const auto first =
      std::find_if(placed_.begin(), placed_.end(),
                   [now](const Placed& it) { return now - it.at <= kWindow; });
  if (first == placed_.end()) {
    return rates;
  }
  const double seconds =
      ToSeconds(std::max<Duration>(kMinWindow, now - first->at));
  double placed = 0;
  double places = 0;
  for (auto it = first; it != placed_.end(); ++it) {
    ++placed;
    places += it->places;
    if (it->is_on_time) {
      rates.placed_on_time[it->priority] += 1 / seconds;
    }
  }
  const double scale = places > 0 ? places_ * placed / places : 1;
  for (auto& [priority, per_second] : rates.placed_on_time) {
    per_second *= scale;
  }
  rates.total = std::max(rates.total, placed / seconds * scale);
  return rates;
}

}  // namespace flamingogauge
