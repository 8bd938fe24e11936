#include "plugins/gateway/fleet_events.h"

#include <array>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>

namespace flamingogauge {
namespace {

using EntriesById = std::map<std::string, const UpstreamEntry*>;

EntriesById ById(
    const std::shared_ptr<const std::vector<UpstreamEntry>>& entries) {
  EntriesById by_id;
  if (entries) {
    for (const UpstreamEntry& it : *entries) {
      by_id[it.id] = &it;
    }
  }
  return by_id;
}

EventLine MakeEventLine(std::string_view event, const UpstreamEntry& upstream) {
  EventLine line(event);
  line.Text("upstream", upstream.id)
      .Text("service", upstream.service)
      .Text("address", upstream.address);
  return line;
}

std::string_view EventNameOf(HealthChange change) {
  switch (change) {
    case HealthChange::kSuspected:
      return "upstream.suspected";
    case HealthChange::kLeaving:
      return "upstream.leaving";
    case HealthChange::kReplaced:
      return "upstream.replaced";
    case HealthChange::kRecovered:
    case HealthChange::kNone:
      break;
  }
  return "upstream.trusted";
}

std::string FormatRate(double per_second) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", per_second);
  return text.data();
}

}  // namespace

std::vector<EventLine> UpstreamListEvents(
    const std::shared_ptr<const std::vector<UpstreamEntry>>& before,
    const std::shared_ptr<const std::vector<UpstreamEntry>>& after) {
  const EntriesById old_entries = ById(before);
  const EntriesById new_entries = ById(after);
  std::vector<EventLine> lines;
  for (const auto& [id, entry] : new_entries) {
    const auto known = old_entries.find(id);
    if (known == old_entries.end()) {
      EventLine line = MakeEventLine("upstream.listed", *entry);
      line.Text("version", entry->version);
      lines.push_back(std::move(line.Number("slots", entry->slots)));
    } else if (known->second->started_at_ms != entry->started_at_ms) {
      lines.push_back(MakeEventLine("upstream.restarted", *entry));
    } else if (entry->draining && !known->second->draining) {
      lines.push_back(MakeEventLine("upstream.leaving", *entry));
    }
  }
  for (const auto& [id, entry] : old_entries) {
    if (!new_entries.contains(id)) {
      lines.push_back(MakeEventLine("upstream.gone", *entry));
    }
  }
  return lines;
}

EventLine HealthChangeEvent(HealthChange change,
                            const UpstreamEntry& upstream,
                            const Dispatcher& dispatcher,
                            MonotonicTime now) {
  EventLine line = MakeEventLine(EventNameOf(change), upstream);
  const auto view = dispatcher.upstreams().find(upstream.id);
  if (view != dispatcher.upstreams().end()) {
    line.Milliseconds("for_ms", view->second.RemainingSuspicion(now))
        .Number("running", view->second.running());
  }
  return line;
}

EventLine RateLimitEvent(std::optional<double> requests_per_second,
                         const UpstreamEntry& upstream) {
  EventLine line = MakeEventLine("upstream.rate_limit", upstream);
  line.Text("state", requests_per_second ? "stated" : "ended");
  if (requests_per_second) {
    line.Text("requests_per_second", FormatRate(*requests_per_second));
  }
  return line;
}

EventLine RefusalEvent(const RefusalSummary& refusals) {
  const auto count = [](auto n) { return static_cast<std::int64_t>(n); };
  EventLine line("admission.refused");
  line.Text("service", refusals.service)
      .Number("refused", refusals.refused)
      .Number("returned", refusals.returned)
      .Number("priority", refusals.priority)
      .Text("reason", refusals.reason)
      .Milliseconds("expected_wait_ms", refusals.expected_wait)
      .Milliseconds("wait_limit_ms", refusals.wait_limit)
      .Milliseconds("retry_after_ms", refusals.retry_after)
      .Number("ahead", count(refusals.ahead))
      .Number("waiting", count(refusals.waiting))
      .Number("late", count(refusals.late))
      .Number("placed_per_second", count(refusals.placed_per_second));
  return line;
}

}  // namespace flamingogauge
