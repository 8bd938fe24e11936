#include "plugins/upstreams/curl_upstream_client.h"

#include <chrono>
#include <utility>

#include "plugins/upstreams/engine_call.h"
#include "plugins/upstreams/service_call.h"

namespace flamingogauge {
namespace {

// Capacity for a start, a cancel and some pause commands of each call.
constexpr std::size_t kCommandsPerCall = 4;
constexpr std::size_t kExtraCommands = 64;
// Limit of commands handled before the sockets are polled again.
constexpr int kCommandsPerWake = 256;
constexpr std::size_t kMaxDumpedCalls = 100;
constexpr std::size_t kMaxStalledAddresses = 4096;
constexpr std::chrono::milliseconds kDumpTimeLimit{1000};

Error ResourceExhaustedError(const UpstreamCall& call, const char* message) {
  return Error{.code = ErrorCode::kResourceExhausted,
               .step = "start call",
               .peer = call.upstream,
               .message = message};
}

}  // namespace

CurlUpstreamClient::CurlUpstreamClient(const UpstreamsSettings& settings,
                                       std::uint64_t seed)
    : settings_(settings),
      ring_(settings.max_calls * kCommandsPerCall + kExtraCommands),
      loop_(settings.max_idle_connections),
      random_(seed),
      canceller_(loop_, counters_),
      poller_(*this) {
  loop_.Start([this] { OnWake(); });
}

CurlUpstreamClient::~CurlUpstreamClient() {
  ring_.Close();
  loop_.Stop();
  calls_.clear();
  canceller_.Clear();
}

void CurlUpstreamClient::Start(UpstreamCall call,
                               std::shared_ptr<UpstreamCallObserver> observer) {
  // Starts use at most half of the queue's capacity, so that cancels and pauses
  // of calls in flight can still be queued.
  const bool has_capacity =
      ring_.Size() < settings_.max_calls * kCommandsPerCall / 2;
  if (draining_ || !has_capacity) {
    observer->OnFailed(ResourceExhaustedError(
                           call, draining_ ? "the upstream client is draining"
                                           : "the command queue is full"),
                       ExecutionKnowledge::kNothingSent);
    return;
  }
  const Error closed =
      ResourceExhaustedError(call, "the upstream client has stopped");
  const auto copy = observer;
  if (!Push(StartCommand{std::move(call), std::move(observer)})) {
    copy->OnFailed(closed, ExecutionKnowledge::kNothingSent);
  }
}

void CurlUpstreamClient::Cancel(RequestId id) {
  if (!Push(CancelCommand{id})) {
    ++commands_dropped_;
  }
}

void CurlUpstreamClient::SetPaused(RequestId id, bool paused) {
  if (!Push(PauseCommand{id, paused})) {
    ++commands_dropped_;
  }
}

void CurlUpstreamClient::SubscribeLoad(LoadListener listener) {
  if (!Push(SubscribeCommand{std::move(listener), {}})) {
    ++commands_dropped_;
  }
}

void CurlUpstreamClient::SubscribeCache(CacheListener listener) {
  if (!Push(SubscribeCommand{{}, std::move(listener)})) {
    ++commands_dropped_;
  }
}

void CurlUpstreamClient::SetDocument(std::shared_ptr<const Document> document) {
  {
    std::lock_guard<std::mutex> lock(document_mutex_);
    new_document_ = std::move(document);
  }
  loop_.Wake();
}

void CurlUpstreamClient::Drain(std::function<void()> done) {
  draining_ = true;
  const auto copy = done;
  if (!Push(DrainCommand{std::move(done)})) {
    copy();
  }
}

std::string CurlUpstreamClient::DumpState() const {
  auto promise = std::make_shared<std::promise<std::string>>();
  auto text = promise->get_future();
  if (!Push(DumpCommand{promise}) ||
      text.wait_for(kDumpTimeLimit) != std::future_status::ready) {
    return R"({"error":"upstream client thread did not answer within 1 s"})";
  }
  return text.get();
}

bool CurlUpstreamClient::Push(Command command) const {
  const bool pushed = ring_.TryPush(std::move(command));
  loop_.Wake();
  return pushed;
}

void CurlUpstreamClient::OnWake() {
  std::shared_ptr<const Document> document;
  {
    std::lock_guard<std::mutex> lock(document_mutex_);
    document = std::move(new_document_);
  }
  if (document) {
    poller_.SetDocument(*document);
  }
  for (int i = 0; i < kCommandsPerWake; ++i) {
    auto command = ring_.TryPop();
    if (!command) {
      return;
    }
    std::visit([this](auto& it) { Handle(std::move(it)); }, *command);
  }
  loop_.Wake();
}

void CurlUpstreamClient::Handle(StartCommand command) {
  const RequestId id = command.call.id;
  // A refused request may be sent again with the same id before the timer that
  // destroys its ended call has run.
  DestroyEndedCalls();
  if (calls_.size() >= settings_.max_calls || calls_.count(id) != 0) {
    const char* message = calls_.count(id) != 0
                              ? "a call with this id is already in flight"
                              : "the limit of concurrent calls is reached";
    ++counters_.failed_nothing_sent;
    command.observer->OnFailed(ResourceExhaustedError(command.call, message),
                               ExecutionKnowledge::kNothingSent);
    return;
  }
  std::unique_ptr<UpstreamCallBase> call;
  if (command.call.is_engine) {
    call = std::make_unique<EngineCall>(*this, std::move(command.call),
                                        std::move(command.observer));
  } else {
    call = std::make_unique<ServiceCall>(*this, std::move(command.call),
                                         std::move(command.observer));
  }
  UpstreamCallBase& started = *call;
  calls_.emplace(id, std::move(call));
  started.Start();
}

void CurlUpstreamClient::Handle(const CancelCommand& command) {
  const auto it = calls_.find(command.id);
  if (it != calls_.end()) {
    it->second->Cancel();
  }
}

void CurlUpstreamClient::Handle(const PauseCommand& command) {
  const auto it = calls_.find(command.id);
  if (it != calls_.end()) {
    it->second->SetPaused(command.paused);
  }
}

void CurlUpstreamClient::Handle(SubscribeCommand command) {
  if (command.load) {
    poller_.AddLoadListener(std::move(command.load));
  }
  if (command.cache) {
    poller_.AddCacheListener(std::move(command.cache));
  }
}

void CurlUpstreamClient::Handle(DrainCommand command) {
  drained_.push_back(std::move(command.done));
  FinishDrainIfIdle();
}

void CurlUpstreamClient::Handle(const DumpCommand& command) {
  command.promise->set_value(DumpOnLoop());
}

void CurlUpstreamClient::OnCallEnded(const RequestId& id) {
  if (ended_.empty()) {
    loop_.Schedule(std::chrono::steady_clock::now(),
                   [this] { DestroyEndedCalls(); });
  }
  ended_.push_back(id);
}

void CurlUpstreamClient::DestroyEndedCalls() {
  for (const RequestId& it : std::exchange(ended_, {})) {
    calls_.erase(it);
  }
  FinishDrainIfIdle();
}

void CurlUpstreamClient::FinishDrainIfIdle() {
  if (!calls_.empty() || canceller_.size() > 0) {
    if (!drained_.empty()) {
      // The canceller does not report completion, so it is polled.
      constexpr std::chrono::milliseconds kRecheckInterval{50};
      loop_.Schedule(std::chrono::steady_clock::now() + kRecheckInterval,
                     [this] { FinishDrainIfIdle(); });
    }
    return;
  }
  for (const auto& it : std::exchange(drained_, {})) {
    it();
  }
}

void CurlUpstreamClient::CancelAtEngine(const std::string& address,
                                        const std::string& stream,
                                        bool may_arrive_later) {
  canceller_.Cancel(address, stream, may_arrive_later);
}

void CurlUpstreamClient::OnInactivity(const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  if (stalled_addresses_.size() >= kMaxStalledAddresses) {
    stalled_addresses_.clear();
  }
  // By then, every pooled connection opened before now is too old for reuse.
  stalled_addresses_[address] = now + settings_.max_idle_time;
}

bool CurlUpstreamClient::RequiresFreshConnection(
    const std::string& address) const {
  const auto it = stalled_addresses_.find(address);
  return it != stalled_addresses_.end() &&
         std::chrono::steady_clock::now() < it->second;
}

std::string CurlUpstreamClient::DumpOnLoop() const {
  std::string text =
      "{\"calls_in_flight\":" + std::to_string(calls_.size()) +
      ",\"max_calls\":" + std::to_string(settings_.max_calls) +
      ",\"ring\":" + std::to_string(ring_.Size()) +
      ",\"commands_dropped\":" + std::to_string(commands_dropped_.load()) +
      ",\"engine_cancels_in_flight\":" + std::to_string(canceller_.size()) +
      ",\"polled_engines\":" + std::to_string(poller_.size()) +
      ",\"counts\":" + counters_.ToJson() + ",\"calls\":[";
  std::size_t n = 0;
  for (const auto& it : calls_) {
    if (n == kMaxDumpedCalls) {
      break;
    }
    text += (n++ == 0 ? "" : ",") + it.second->DumpJson();
  }
  return text + "]}";
}

}  // namespace flamingogauge
