#include "tests/fakes/fake_engine/fake_engine_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/model/fingerprint.h"
#include "libs/requests/prefix_hashes.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

// Finished streams kept for resumption.
constexpr std::size_t kMaxFinishedStreams = 4096;
constexpr std::size_t kMaxCountedIds = 200000;
constexpr std::size_t kMaxCacheChanges = 1024;

std::chrono::nanoseconds TimeForTokens(double tokens, double rate) {
  if (rate <= 0) {
    return std::chrono::nanoseconds(0);
  }
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(tokens / rate * 1e9));
}

}  // namespace

FakeEngineState::FakeEngineState(FakeEngineOptions options)
    : options_(options), thread_([this] { Run(); }) {}

FakeEngineState::~FakeEngineState() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

FakeEngineState::Admission FakeEngineState::Admit(std::string_view body) {
  const auto request = ParseFakeChatRequest(body);
  std::lock_guard<std::mutex> lock(mutex_);
  if (!request) {
    return Admission::kInvalid;
  }
  if (!faults_.crash_on.empty() &&
      request->prompt.find(faults_.crash_on) != std::string::npos) {
    return Admission::kCrash;
  }
  if (faults_.refuse || running_ >= options_.max_concurrency) {
    ++refusals_;
    return Admission::kRefused;
  }
  return Admission::kAccepted;
}

void FakeEngineState::Execute(const std::string& id,
                              std::string_view body,
                              std::shared_ptr<FakeStreamSink> sink) {
  const auto request = ParseFakeChatRequest(body);
  const auto now = std::chrono::steady_clock::now();
  auto stream = std::make_shared<Stream>();
  stream->id = id;
  stream->seed = FakeSeed(request->prompt);
  stream->prompt_tokens = CountFakeTokens(request->prompt);
  stream->total = 1 + (request->max_tokens > 0 ? request->max_tokens
                                               : options_.default_tokens);
  stream->sink = std::move(sink);

  std::lock_guard<std::mutex> lock(mutex_);
  ++executions_;
  if (by_request_.size() < kMaxCountedIds) {
    ++by_request_[id];
    ++by_fingerprint_[ToString(ComputeFingerprint(request->model, body))];
  }
  stream->cached_tokens =
      std::min(CachePromptLocked(request->cache_text), stream->prompt_tokens);
  const double uncached =
      static_cast<double>(stream->prompt_tokens - stream->cached_tokens);
  stream->first_at = now + TimeForTokens(uncached * faults_.slowdown,
                                         options_.prefill_tokens_per_second);
  stream->interval =
      TimeForTokens(faults_.slowdown, options_.decode_tokens_per_second);
  ++running_;
  tokens_in_memory_ += stream->prompt_tokens + stream->total;
  streams_[id] = stream;
  AdvanceLocked(stream, now);
}

bool FakeEngineState::Resume(const std::string& id,
                             std::size_t offset,
                             std::shared_ptr<FakeStreamSink> sink) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = streams_.find(id);
  if (it == streams_.end() || it->second->cancelled) {
    return false;
  }
  ++resumes_;
  Stream& stream = *it->second;
  stream.sink = std::move(sink);
  stream.next_offset = offset;
  stream.sent_on_connection = 0;
  stream.silent = false;
  AdvanceLocked(it->second, std::chrono::steady_clock::now());
  return true;
}

bool FakeEngineState::IsKnown(const std::string& id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = streams_.find(id);
  return it != streams_.end() && !it->second->cancelled;
}

bool FakeEngineState::Cancel(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return false;
  }
  Stream& stream = *it->second;
  if (!stream.cancelled && stream.running) {
    ++cancellations_;
  }
  stream.cancelled = true;
  if (stream.sink) {
    stream.sink->CloseConnection();
    stream.sink.reset();
  }
  EndLocked(stream);
  return true;
}

void FakeEngineState::SetFaults(const FakeEngineFaults& faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

FakeEngineFaults FakeEngineState::faults() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

void FakeEngineState::SilenceOpenStreams() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (auto& it : streams_) {
    it.second->silent = it.second->sink != nullptr;
  }
}

void FakeEngineState::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (due_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto now = std::chrono::steady_clock::now();
    // Copied, because other threads may change the queue during the wait.
    const auto [time, stream] = due_.top();
    if (time > now) {
      changed_.wait_until(lock, time);
      continue;
    }
    due_.pop();
    stream->scheduled = false;
    AdvanceLocked(stream, now);
  }
}

std::size_t FakeEngineState::AvailableLocked(const Stream& stream,
                                             MonotonicTime now) const {
  if (now < stream.first_at) {
    return 0;
  }
  if (stream.interval.count() == 0) {
    return stream.total;
  }
  const auto elapsed =
      static_cast<std::size_t>((now - stream.first_at) / stream.interval);
  return std::min(stream.total, elapsed + 1);
}

// Sends the events that are due on the stream's connection and schedules the
// next event.
void FakeEngineState::AdvanceLocked(const std::shared_ptr<Stream>& stream,
                                    MonotonicTime now) {
  const std::size_t available = AvailableLocked(*stream, now);
  if (stream->sink && !stream->silent) {
    std::string events;
    bool hang_up = false;
    while (stream->next_offset < available && !hang_up) {
      events += EventLocked(*stream, stream->next_offset++);
      hang_up = ++stream->sent_on_connection == faults_.hang_up_after;
    }
    const bool at_end = stream->next_offset >= stream->total && !hang_up;
    if (at_end && !faults_.omit_done) {
      events += "id: " + std::to_string(stream->total) + "\ndata: [DONE]\n\n";
    }
    bool sent = true;
    if (hang_up) {
      stream->sink->SendAndClose(events);
    } else if (!events.empty()) {
      sent = stream->sink->Send(events);
    }
    if (at_end && sent) {
      stream->sink->Finish();
    }
    if (hang_up || at_end || !sent) {
      stream->sink.reset();
    }
  }
  if (available >= stream->total) {
    EndLocked(*stream);
  } else if (!stream->cancelled && !stream->scheduled) {
    stream->scheduled = true;
    due_.emplace(stream->first_at + stream->interval * available, stream);
    changed_.notify_all();
  }
}

std::string FakeEngineState::EventLocked(const Stream& stream,
                                         std::size_t offset) const {
  std::string event = "id: " + std::to_string(offset) + "\ndata: {\"id\":\"" +
                      stream.id +
                      "\",\"object\":\"chat.completion.chunk\",\"choices\":[{"
                      "\"index\":0,\"delta\":{";
  if (offset + 1 < stream.total) {
    return event + R"("content":")" + FakeToken(stream.seed, offset) +
           "\"},\"finish_reason\":null}]}\n\n";
  }
  return event +
         "},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":" +
         std::to_string(stream.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(stream.total - 1) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(stream.cached_tokens) + "}}}\n\n";
}

void FakeEngineState::EndLocked(Stream& stream) {
  if (!stream.running) {
    return;
  }
  stream.running = false;
  --running_;
  tokens_in_memory_ -= stream.prompt_tokens + stream.total;
  finished_.push_back(stream.id);
  EvictFinishedStreamsLocked();
}

void FakeEngineState::EvictFinishedStreamsLocked() {
  while (finished_.size() > kMaxFinishedStreams) {
    streams_.erase(finished_.front());
    finished_.pop_front();
  }
}

// Adds the prompt's blocks to the prefix cache and returns the number of tokens
// that were already cached.
std::size_t FakeEngineState::CachePromptLocked(std::string_view text) {
  CacheChange change;
  std::size_t found_blocks = 0;
  for (const std::uint64_t hash : ComputePrefixHashes(text)) {
    if (!cached_.emplace(hash, true).second) {
      ++found_blocks;
      continue;
    }
    cached_order_.push_back(hash);
    change.stored.push_back(hash);
    if (cached_order_.size() > options_.cache_blocks) {
      change.evicted.push_back(cached_order_.front());
      cached_.erase(cached_order_.front());
      cached_order_.pop_front();
    }
  }
  if (!change.stored.empty()) {
    change.sequence = ++cache_sequence_;
    cache_changes_.push_back(std::move(change));
    if (cache_changes_.size() > kMaxCacheChanges) {
      cache_changes_.pop_front();
    }
  }
  return found_blocks * (kPrefixBlockBytes / kBytesPerToken);
}

std::string FakeEngineState::LoadJson() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return nlohmann::json{{"running", running_},
                        {"waiting", 0},
                        {"tokens_in_memory", tokens_in_memory_},
                        {"token_capacity", options_.token_capacity},
                        {"age_ms", options_.load_lag.count()}}
      .dump();
}

std::string FakeEngineState::CacheEventsJson(std::uint64_t after) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto events = nlohmann::json::array();
  for (const auto& it : cache_changes_) {
    if (it.sequence > after) {
      events.push_back({{"sequence", it.sequence},
                        {"stored", it.stored},
                        {"evicted", it.evicted}});
    }
  }
  return nlohmann::json{{"events", std::move(events)}}.dump();
}

std::string FakeEngineState::ExecutionsJson() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return nlohmann::json{{"total", executions_},
                        {"cancelled", cancellations_},
                        {"resumed", resumes_},
                        {"refused", refusals_},
                        {"running", running_},
                        {"by_request", by_request_},
                        {"by_fingerprint", by_fingerprint_}}
      .dump();
}

}  // namespace flamingogauge
