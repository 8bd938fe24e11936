#include "plugins/gateway/pace_events.h"

#include <chrono>

namespace flamingogauge {
namespace {

constexpr int kMaxLinesPerSecond = 10;
// Bounds the size of a state dump.
constexpr int kMaxDumpedPaces = 200;

}  // namespace

EventLine PaceChangeEvent(const PaceChange& change) {
  EventLine line("upstream.pace");
  line.Text("upstream", change.upstream)
      .Number("from", change.from)
      .Number("to", change.to)
      .Number("slots", change.slots)
      .Text("cause", ToString(change.cause));
  return line;
}

std::string FormatPaces(const std::map<std::string, UpstreamView>& upstreams,
                        MonotonicTime now) {
  std::string text = "{";
  int count = 0;
  for (const auto& [id, upstream] : upstreams) {
    const UpstreamPace& pace = upstream.pace();
    if (!pace.changed_at() || count == kMaxDumpedPaces) {
      continue;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *pace.changed_at());
    text += count++ == 0 ? "\"" : ",\"";
    text += id + "\":{\"requests\":" + std::to_string(upstream.Limit(now));
    text += ",\"slots\":" + std::to_string(upstream.entry().slots);
    text += ",\"since_ms\":" + std::to_string(age.count());
    text += ",\"cause\":\"" + std::string(ToString(pace.cause())) + "\"}";
  }
  return text + "}";
}

bool PaceLogFilter::Admits(const PaceChange& change, MonotonicTime now) {
  const bool is_step =
      change.cause == PaceCause::kOnTime && change.to < change.slots;
  if (is_step) {
    return false;
  }
  if (now - second_began_ >= std::chrono::seconds(1)) {
    second_began_ = now;
    lines_ = 0;
  }
  return ++lines_ <= kMaxLinesPerSecond;
}

}  // namespace flamingogauge
