#include "tools/load/load_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
constexpr int kFirstError = 300;
constexpr std::size_t kMaxErrorBody = 4096;

// Formats the HTTP status with the type and run status from an error body.
std::string DescribeRefusal(int status, const std::string& body) {
  std::string text = std::to_string(status);
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    for (const char* field : {"type", "run_status"}) {
      const auto it = json["error"].find(field);
      if (it != json["error"].end() && it->is_string()) {
        text += " " + it->get<std::string>();
      }
    }
  }
  return text;
}

}  // namespace

LoadRequest::LoadRequest(CurlLoop& loop,
                         const LoadOptions& options,
                         const RequestClass& request_class,
                         PlannedRequest planned,
                         const std::string& address,
                         LoadResult result,
                         MonotonicTime planned_time,
                         Callback callback)
    : loop_(loop),
      options_(options),
      class_(request_class),
      planned_(std::move(planned)),
      result_(std::move(result)),
      planned_time_(planned_time),
      callback_(std::move(callback)) {
  timer_ = loop_.Schedule(
      std::chrono::steady_clock::now() + options_.time_limit, [this] {
        transfer_.reset();
        Finish(LoadOutcome::kTimeout);
      });
  transfer_ =
      std::make_unique<HttpTransfer>(loop_, MakeTransfer(address), *this);
}

LoadRequest::~LoadRequest() {
  loop_.Unschedule(timer_);
}

HttpTransferOptions LoadRequest::MakeTransfer(const std::string& address) {
  HttpTransferOptions transfer{.address = address};
  if (class_.kind == LoadKind::kChat) {
    body_ = nlohmann::json{
        {"model", options_.model},
        {"messages", {{{"role", "user"}, {"content", planned_.prompt}}}},
        {"max_tokens", planned_.output_tokens},
        {"stream",
         true}}.dump();
    transfer.method = "POST";
    transfer.path = "/v1/chat/completions";
  } else if (class_.kind == LoadKind::kBooking) {
    body_ = nlohmann::json{{"key", planned_.key}}.dump();
    transfer.method = "POST";
    transfer.path = "/v1/services/" + options_.service + "/book";
    transfer.headers.push_back({"Idempotency-Key", planned_.key});
  } else {
    transfer.path = "/v1/services/" + options_.service + "/status";
  }
  transfer.body = body_;
  const std::size_t key =
      std::min<std::size_t>(class_.tier, options_.keys.size() - 1);
  transfer.headers.push_back({"Authorization", "Bearer " + options_.keys[key]});
  if (!body_.empty()) {
    transfer.headers.push_back({"Content-Type", "application/json"});
  }
  if (class_.tier < options_.tier_names.size()) {
    transfer.headers.push_back(
        {"Flamingogauge-Tier", options_.tier_names[class_.tier]});
  }
  if (result_.direct) {
    transfer.headers.push_back(
        {"X-Request-Id", "direct-" + std::to_string(options_.seed) + "-" +
                             std::to_string(planned_.number)});
  }
  return transfer;
}

void LoadRequest::OnHead(int status, std::vector<HttpHeader> /*headers*/) {
  status_ = status;
}

bool LoadRequest::OnBody(std::string_view bytes) {
  if (status_ >= kFirstError || class_.kind != LoadKind::kChat) {
    if (text_.size() < kMaxErrorBody) {
      text_.append(bytes);
    }
    return true;
  }
  std::vector<SseEvent> events;
  if (!parser_.Feed(bytes, events)) {
    return false;
  }
  for (const SseEvent& it : events) {
    HandleEvent(it.data);
  }
  return true;
}

void LoadRequest::HandleEvent(const std::string& data) {
  if (data == "[DONE]") {
    done_ = true;
    return;
  }
  const auto json = nlohmann::json::parse(data, nullptr, false);
  if (json.is_object() && json.contains("error")) {
    error_event_ = true;
    result_.refusal = DescribeRefusal(status_, data) + " in the stream";
    return;
  }
  if (!has_first_token_) {
    has_first_token_ = true;
    result_.first_token = std::chrono::steady_clock::now() - planned_time_;
  }
  if (!options_.verify || !json.is_object() || !json.contains("choices") ||
      !json["choices"].is_array() || json["choices"].empty()) {
    return;
  }
  const auto& choice = json["choices"][0];
  if (choice.contains("delta") && choice["delta"].contains("content")) {
    text_ += choice["delta"]["content"].get<std::string>();
  }
}

void LoadRequest::OnFinished(TransferEnd end, const std::string& /*message*/) {
  if (end == TransferEnd::kConnectionRefused ||
      end == TransferEnd::kNotConnected) {
    Finish(LoadOutcome::kNoConnection);
  } else if (error_event_) {
    Finish(LoadOutcome::kRefused);
  } else if (end != TransferEnd::kComplete) {
    Finish(LoadOutcome::kBroken);
  } else {
    Finish(CheckResponse());
  }
}

LoadOutcome LoadRequest::CheckResponse() const {
  if (status_ >= kFirstError || status_ < kOk) {
    return LoadOutcome::kRefused;
  }
  if (class_.kind == LoadKind::kChat) {
    if (!done_) {
      return LoadOutcome::kTruncated;
    }
    const bool same =
        !options_.verify ||
        text_ == FakeAnswer(planned_.prompt, planned_.output_tokens);
    return same ? LoadOutcome::kSucceeded : LoadOutcome::kIncorrectContent;
  }
  if (!options_.verify || class_.kind != LoadKind::kBooking) {
    return LoadOutcome::kSucceeded;
  }
  const auto json = nlohmann::json::parse(text_, nullptr, false);
  const bool own =
      json.is_object() && json.contains("key") && json["key"] == planned_.key;
  return own ? LoadOutcome::kSucceeded : LoadOutcome::kIncorrectContent;
}

void LoadRequest::Finish(LoadOutcome end) {
  result_.end = end;
  result_.total = std::chrono::steady_clock::now() - planned_time_;
  if (!has_first_token_) {
    result_.first_token = result_.total;
  }
  if (end == LoadOutcome::kRefused && result_.refusal.empty()) {
    result_.refusal = DescribeRefusal(status_, text_);
  }
  // Moved out of the member first because the callback destroys this object.
  const Callback callback = std::move(callback_);
  callback(this, std::move(result_));
}

}  // namespace flamingogauge
