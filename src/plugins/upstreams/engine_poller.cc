#include "plugins/upstreams/engine_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
// Limit of events taken from one response; the next poll returns the rest.
constexpr std::size_t kMaxCacheEvents = 256;

}  // namespace

EnginePoller::~EnginePoller() {
  if (timer_) {
    context_.loop().Unschedule(*timer_);
  }
  for (const auto& it : engines_) {
    it->exchange.reset();
  }
}

void EnginePoller::AddLoadListener(UpstreamClient::LoadListener listener) {
  load_listeners_.push_back(std::move(listener));
  if (!timer_) {
    ScheduleNext();
  }
}

void EnginePoller::AddCacheListener(UpstreamClient::CacheListener listener) {
  cache_listeners_.push_back(std::move(listener));
  if (!timer_) {
    ScheduleNext();
  }
}

void EnginePoller::SetDocument(const Document& document) {
  const DataCentreId& data_centre = context_.settings().data_centre;
  std::vector<std::shared_ptr<Engine>> engines;
  for (const UpstreamSpec& spec : document.upstreams) {
    if (spec.kind != UpstreamKind::kEngine ||
        (!data_centre.empty() && spec.data_centre != data_centre)) {
      continue;
    }
    const auto known =
        std::find_if(engines_.begin(), engines_.end(), [&spec](const auto& it) {
          return it->id == spec.id && it->address == spec.address;
        });
    if (known != engines_.end()) {
      engines.push_back(*known);
      continue;
    }
    auto engine = std::make_shared<Engine>();
    engine->id = spec.id;
    engine->address = spec.address;
    engines.push_back(std::move(engine));
  }
  for (const auto& it : engines_) {
    if (std::find(engines.begin(), engines.end(), it) == engines.end()) {
      it->exchange.reset();
    }
  }
  engines_ = std::move(engines);
  if (!timer_) {
    ScheduleNext();
  }
}

void EnginePoller::ScheduleNext() {
  timer_.reset();
  if (engines_.empty() ||
      (load_listeners_.empty() && cache_listeners_.empty())) {
    return;
  }
  const UpstreamsSettings& settings = context_.settings();
  const auto n = static_cast<double>(engines_.size());
  const std::chrono::duration<double> even =
      std::chrono::duration<double>(settings.poll_period) / n;
  const std::chrono::duration<double> shortest(
      1.0 / static_cast<double>(settings.max_polls_per_second));
  // Jitter keeps the hosts of a data centre from polling in lockstep.
  const auto wait =
      std::max(even, shortest) * (0.9 + 0.2 * context_.random().NextDouble());
  timer_ =
      context_.loop().Schedule(std::chrono::steady_clock::now() +
                                   std::chrono::duration_cast<Duration>(wait),
                               [this] { PollNext(); });
}

void EnginePoller::PollNext() {
  next_ = next_ + 1 < engines_.size() ? next_ + 1 : 0;
  if (!engines_.empty() && !engines_[next_]->exchange) {
    if (load_listeners_.empty()) {
      PollCache(engines_[next_]);
    } else {
      PollLoad(engines_[next_]);
    }
  }
  ScheduleNext();
}

void EnginePoller::PollLoad(const std::shared_ptr<Engine>& engine) {
  Poll(engine, "/load", [this, engine](const std::string& body) {
    DeliverLoad(*engine, body);
    if (!cache_listeners_.empty()) {
      PollCache(engine);
    }
  });
}

void EnginePoller::PollCache(const std::shared_ptr<Engine>& engine) {
  Poll(
      engine, "/cache/events?after=" + std::to_string(engine->last_sequence),
      [this, engine](const std::string& body) { DeliverCache(*engine, body); });
}

void EnginePoller::Poll(
    const std::shared_ptr<Engine>& engine,
    const std::string& path,
    const std::function<void(const std::string&)>& on_success) {
  const UpstreamsSettings& settings = context_.settings();
  engine->exchange = std::make_unique<SimpleExchange>(
      context_.loop(),
      HttpTransferOptions{.method = "GET",
                          .address = engine->address,
                          .path = path,
                          .connect_time_limit = settings.poll_time_limit,
                          .max_idle_time = settings.max_idle_time,
                          .fresh_connection = context_.RequiresFreshConnection(
                              engine->address)},
      settings.poll_time_limit,
      [this, engine, on_success](const SimpleExchange::Outcome& outcome) {
        engine->exchange.reset();
        if (outcome.timed_out) {
          context_.OnInactivity(engine->address);
        }
        if (!outcome.complete || outcome.status != kOk) {
          ++context_.counters().polls_failed;
          // A restarted engine at this address numbers its events from the
          // start.
          engine->last_sequence = 0;
          return;
        }
        ++context_.counters().polls_ok;
        on_success(outcome.body);
      });
}

void EnginePoller::DeliverLoad(const Engine& engine, const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  LoadReport report{.upstream = engine.id};
  try {
    report.running_requests = json.value("running", 0U);
    report.waiting_requests = json.value("waiting", 0U);
    report.tokens_in_memory = json.value("tokens_in_memory", std::uint64_t{0});
    report.token_capacity = json.value("token_capacity", std::uint64_t{0});
    report.age = std::chrono::milliseconds(json.value("age_ms", 0));
  } catch (const nlohmann::json::exception&) {
    ++context_.counters().polls_failed;
    return;
  }
  for (const auto& it : load_listeners_) {
    it(report);
  }
}

void EnginePoller::DeliverCache(Engine& engine, const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("events") ||
      !json["events"].is_array()) {
    return;
  }
  std::vector<CacheEvent> events;
  try {
    for (const auto& it : json["events"]) {
      if (events.size() == kMaxCacheEvents) {
        break;
      }
      events.push_back(
          {.upstream = engine.id,
           .sequence = it.at("sequence").get<std::uint64_t>(),
           .stored = it.at("stored").get<std::vector<std::uint64_t>>(),
           .evicted = it.at("evicted").get<std::vector<std::uint64_t>>()});
    }
  } catch (const nlohmann::json::exception&) {
    ++context_.counters().polls_failed;
    return;
  }
  for (const CacheEvent& event : events) {
    engine.last_sequence = std::max(engine.last_sequence, event.sequence);
    for (const auto& it : cache_listeners_) {
      it(event);
    }
  }
}

}  // namespace flamingogauge
