#include "libs/http_client/http_loop.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

constexpr std::size_t kRingCapacity = 1024;
constexpr int kPollTimeoutMs = 1000;
constexpr std::size_t kMaxResponseBytes = 16U << 20U;

// Returns the value of a field of the last response; empty without one.
std::string FieldOf(CURL* easy, const std::string& name) {
  constexpr int kLastResponse = -1;
  curl_header* field = nullptr;
  const bool is_found =
      !name.empty() && curl_easy_header(easy, name.c_str(), 0, CURLH_HEADER,
                                        kLastResponse, &field) == CURLHE_OK;
  return is_found ? field->value : "";
}

}  // namespace

struct HttpLoop::Transfer {
  HttpCall call;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::string response_body;
  std::size_t body_sent = 0;
  bool too_large = false;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }

  static std::size_t OnWrite(char* data,
                             std::size_t size,
                             std::size_t n,
                             void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    if (transfer->response_body.size() + size * n > kMaxResponseBytes) {
      transfer->too_large = true;
      return 0;
    }
    transfer->response_body.append(data, size * n);
    return size * n;
  }

  static std::size_t OnRead(char* buf,
                            std::size_t size,
                            std::size_t n,
                            void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    const std::size_t count =
        std::min(size * n, transfer->call.body.size() - transfer->body_sent);
    transfer->call.body.copy(buf, count, transfer->body_sent);
    transfer->body_sent += count;
    return count;
  }

  // libcurl silently resends a request if a reused connection closes without a
  // response. A modifying request must not be resent because it may already
  // have taken effect; refusing to rewind the body turns the resend into an
  // error.
  static int OnSeek(void* user, curl_off_t offset, int origin) {
    auto* transfer = static_cast<Transfer*>(user);
    if (transfer->body_sent == 0 && offset == 0 && origin == SEEK_SET) {
      return CURL_SEEKFUNC_OK;
    }
    return CURL_SEEKFUNC_FAIL;
  }

  void Configure(const HttpLoopOptions& options) {
    easy = curl_easy_init();
    const std::string url = "http://" + options.address + call.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options.connect_time_limit.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.time_limit.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnWrite);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    headers = curl_slist_append(headers, "Expect:");
    for (const std::string& it : call.headers) {
      headers = curl_slist_append(headers, it.c_str());
    }
    if (call.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, &OnRead);
      curl_easy_setopt(easy, CURLOPT_READDATA, this);
      curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &OnSeek);
      curl_easy_setopt(easy, CURLOPT_SEEKDATA, this);
      curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
    } else if (call.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    } else if (call.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
      // Without a body, OnSeek() cannot prevent libcurl from resending the
      // request, so that a new connection is used.
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  }
};

std::string PercentEncode(const std::string& text) {
  // The handle is not used by this version of libcurl.
  char* encoded =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = encoded == nullptr ? std::string() : encoded;
  curl_free(encoded);
  return result;
}

HttpLoop::HttpLoop(HttpLoopOptions options)
    : options_(std::move(options)),
      ring_(kRingCapacity),
      multi_(curl_multi_init()),
      budget_(options_.calls_per_second),
      budget_updated_(std::chrono::steady_clock::now()) {
  thread_ = std::thread([this] { Run(); });
}

HttpLoop::~HttpLoop() {
  ring_.Close();
  curl_multi_wakeup(multi_);
  thread_.join();
  curl_multi_cleanup(multi_);
}

bool HttpLoop::Submit(HttpCall call) {
  if (!ring_.TryPush(std::move(call))) {
    return false;
  }
  curl_multi_wakeup(multi_);
  return true;
}

void HttpLoop::Run() {
  while (!ring_.IsClosed()) {
    while (auto call = ring_.TryPop()) {
      Start(std::move(*call));
    }
    int running = 0;
    curl_multi_perform(multi_, &running);
    ReadFinished();
    curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
  }
  while (auto call = ring_.TryPop()) {
    call->done({.failure = "the program is shutting down"});
  }
  while (!transfers_.empty()) {
    Finish(transfers_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
}

bool HttpLoop::TryConsumeBudget() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - budget_updated_;
  budget_updated_ = now;
  const double rate = options_.calls_per_second;
  budget_ = std::min(rate, budget_ + elapsed.count() * rate);
  if (budget_ < 1) {
    return false;
  }
  budget_ -= 1;
  return true;
}

void HttpLoop::Start(HttpCall call) {
  if (!TryConsumeBudget()) {
    ++calls_over_budget_;
    call.done({.failure = "the call budget is spent", .budget_spent = true});
    return;
  }
  ++calls_sent_;
  auto transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->Configure(options_);
  CURL* easy = transfer->easy;
  transfers_.emplace(easy, std::move(transfer));
  curl_multi_add_handle(multi_, easy);
}

void HttpLoop::ReadFinished() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpLoop::Finish(void* handle, int curl_code) {
  const auto it = transfers_.find(handle);
  const std::unique_ptr<Transfer> transfer = std::move(it->second);
  transfers_.erase(it);
  HttpOutcome outcome;
  if (curl_code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    outcome.status = static_cast<int>(status);
    outcome.body = std::move(transfer->response_body);
    outcome.reported_field = FieldOf(handle, options_.reported_field);
  } else {
    ++calls_failed_;
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    outcome.maybe_received = request_bytes > 0;
    outcome.timed_out = curl_code == CURLE_OPERATION_TIMEDOUT;
    outcome.failure =
        transfer->too_large
            ? "the response is larger than " +
                  std::to_string(kMaxResponseBytes) + " bytes"
            : curl_easy_strerror(static_cast<CURLcode>(curl_code));
  }
  curl_multi_remove_handle(multi_, handle);
  transfer->call.done(std::move(outcome));
}

}  // namespace flamingogauge
