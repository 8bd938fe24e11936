// The part of Relay that tells its state: gauges and the state dump.
#include <algorithm>

#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/pace_events.h"
#include "plugins/gateway/relay.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxDumpedExchanges = 200;

}  // namespace

void Relay::RegisterGauges() {
  MetricsRegistry& metrics = context_.metrics;
  metrics.SetGauge("flamingogauge_waiting_requests", [this] {
    return static_cast<double>(context_.placer.waiting_count());
  });
  metrics.SetGauge("flamingogauge_requests_in_progress",
                   [this] { return static_cast<double>(exchanges_.size()); });
  metrics.SetGauge("flamingogauge_routing_age_seconds", [this] {
    return context_.fleet.routing
               ? ToSeconds(classifier_.RoutingAge(BootTimeNow()))
               : -1;
  });
  metrics.SetGauge("flamingogauge_upstreams", [this] {
    return static_cast<double>(context_.placer.upstreams().size());
  });
  metrics.SetGauge("flamingogauge_upstreams_suspect", [this] {
    const MonotonicTime now = BootTimeNow();
    const auto& upstreams = context_.placer.upstreams();
    return static_cast<double>(std::count_if(
        upstreams.begin(), upstreams.end(),
        [now](const auto& it) { return it.second.IsSuspect(now); }));
  });
  metrics.SetGauge("flamingogauge_upstreams_below_slots", [this] {
    const MonotonicTime now = BootTimeNow();
    const auto& upstreams = context_.placer.upstreams();
    return static_cast<double>(std::count_if(
        upstreams.begin(), upstreams.end(), [now](const auto& it) {
          return it.second.Limit(now) < it.second.entry().slots;
        }));
  });
  metrics.SetGauge("flamingogauge_upstreams_rate_limited", [this] {
    const auto& upstreams = context_.placer.upstreams();
    return static_cast<double>(
        std::count_if(upstreams.begin(), upstreams.end(), [](const auto& it) {
          return it.second.rate_limit().requests_per_second().has_value();
        }));
  });
  metrics.SetGauge("flamingogauge_places_taken", [this] {
    double taken = 0;
    for (const auto& [id, it] : context_.placer.upstreams()) {
      taken += it.running();
    }
    return taken;
  });
  metrics.SetGauge("flamingogauge_places", [this] {
    const MonotonicTime now = BootTimeNow();
    double places = 0;
    for (const auto& [id, it] : context_.placer.upstreams()) {
      places += it.Limit(now);
    }
    return places;
  });
  metrics.SetGauge("flamingogauge_crash_suspects", [this] {
    return static_cast<double>(context_.crashes.suspect_count());
  });
  metrics.SetGauge("flamingogauge_quarantined_keys", [this] {
    return static_cast<double>(
        context_.crashes.quarantined_count(BootTimeNow()));
  });
  metrics.SetGauge("flamingogauge_upstream_connections_opened", [this] {
    return static_cast<double>(context_.connections.opened());
  });
}

std::map<std::string, std::map<std::string, std::uint32_t>> Relay::Running()
    const {
  std::map<std::string, std::map<std::string, std::uint32_t>> running;
  for (const auto& [id, exchange] : exchanges_) {
    if (const UpstreamEntry* upstream = exchange->sent_to()) {
      ++running[upstream->service][upstream->version];
    }
  }
  return running;
}

std::string Relay::DumpState() const {
  const MonotonicTime now = BootTimeNow();
  std::string dump = "{\"draining\":";
  dump += context_.is_draining() ? "true" : "false";
  dump += ",\"waiting\":" + std::to_string(context_.placer.waiting_count());
  dump += ",\"upstreams\":{";
  bool first = true;
  for (const auto& [id, state] : context_.placer.upstreams()) {
    dump += first ? "" : ",";
    first = false;
    dump += "\"" + id + "\":" + std::to_string(state.running());
  }
  dump += "},\"paces\":" + FormatPaces(context_.placer.upstreams(), now);
  dump += ",\"running\":{";
  first = true;
  for (const auto& [service, versions] : Running()) {
    dump += (first ? "\"" : ",\"") + service + "\":{";
    first = false;
    bool first_version = true;
    for (const auto& [version, count] : versions) {
      dump += (first_version ? "\"" : ",\"") + version +
              "\":" + std::to_string(count);
      first_version = false;
    }
    dump += "}";
  }
  dump += "},\"requests\":[";
  std::size_t count = 0;
  for (const auto& [id, exchange] : exchanges_) {
    if (count == kMaxDumpedExchanges) {
      break;
    }
    dump += count++ == 0 ? "" : ",";
    dump += exchange->Describe(now);
  }
  return dump + "]}";
}

}  // namespace flamingogauge
