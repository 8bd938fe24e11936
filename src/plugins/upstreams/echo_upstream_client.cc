#include "plugins/upstreams/echo_upstream_client.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace flamingogauge {
namespace {

constexpr int kOk = 200;

std::string PromptOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  std::string prompt;
  if (!json.is_object() || !json.contains("messages") ||
      !json["messages"].is_array()) {
    return prompt;
  }
  for (const auto& it : json["messages"]) {
    if (it.is_object() && it.contains("content") && it["content"].is_string()) {
      prompt += (prompt.empty() ? "" : " ") +
                it["content"].get_ref<const std::string&>();
    }
  }
  return prompt;
}

std::string ChunkJson(const std::string& id,
                      const nlohmann::json& delta,
                      bool is_last) {
  nlohmann::json choice{
      {"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
  if (is_last) {
    choice["finish_reason"] = "stop";
  }
  return nlohmann::json{{"id", id},
                        {"object", "chat.completion.chunk"},
                        {"choices", nlohmann::json::array({choice})}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AnswerChat(const UpstreamCall& call, UpstreamCallObserver& observer) {
  observer.OnHead(kOk, {{"Content-Type", "text/event-stream"}});
  std::istringstream words(PromptOf(call.body));
  const std::string id = ToString(call.id);
  std::string word;
  while (words >> word) {
    observer.OnData(ChunkJson(id, {{"content", word + " "}}, false));
  }
  observer.OnData(ChunkJson(id, nlohmann::json::object(), true));
  observer.OnComplete();
}

void AnswerService(const UpstreamCall& call, UpstreamCallObserver& observer) {
  observer.OnHead(kOk, {{"Content-Type", "application/json"}});
  observer.OnData(
      nlohmann::json{{"service", call.upstream},
                     {"method", call.method},
                     {"path", call.path},
                     {"body_bytes", call.body.size()}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  observer.OnComplete();
}

}  // namespace

EchoUpstreamClient::EchoUpstreamClient(std::size_t max_calls)
    : ring_(max_calls), thread_([this] { Run(); }) {}

EchoUpstreamClient::~EchoUpstreamClient() {
  ring_.Close();
  thread_.join();
}

void EchoUpstreamClient::Start(UpstreamCall call,
                               std::shared_ptr<UpstreamCallObserver> observer) {
  const Error error{.code = ErrorCode::kResourceExhausted,
                    .step = "start call",
                    .peer = call.upstream,
                    .message = "the call queue is full"};
  const auto copy = observer;
  if (!ring_.TryPush(Job{std::move(call), std::move(observer)})) {
    copy->OnFailed(error, ExecutionKnowledge::kNothingSent);
  }
}

void EchoUpstreamClient::Run() {
  constexpr std::chrono::hours kWait{1};
  while (true) {
    const auto job = ring_.PopUntil(std::chrono::steady_clock::now() + kWait);
    if (job) {
      Answer(*job);
    } else if (ring_.IsClosed()) {
      return;
    }
  }
}

void EchoUpstreamClient::Answer(const Job& job) {
  if (!job.observer->OnSending()) {
    job.observer->OnFailed(
        Error{.code = ErrorCode::kCancelled,
              .step = "send",
              .peer = job.call.upstream,
              .message = "the call was withdrawn before it was sent"},
        ExecutionKnowledge::kNothingSent);
  } else if (job.call.is_engine) {
    AnswerChat(job.call, *job.observer);
  } else {
    AnswerService(job.call, *job.observer);
  }
}

}  // namespace flamingogauge
