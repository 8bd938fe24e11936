#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REQUEST_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REQUEST_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/upstreams/curl_loop.h"
#include "plugins/upstreams/http_transfer.h"
#include "plugins/upstreams/sse_parser.h"
#include "tools/load/workload.h"

namespace flamingogauge {

enum class LoadOutcome {
  kSucceeded,
  // An error response, or an error event in the stream.
  kRefused,
  // The stream ended without [DONE] and without an error event.
  kTruncated,
  // The response differs from the expected one.
  kIncorrectContent,
  kNoConnection,
  kBroken,
  kTimeout,
};

struct LoadResult {
  std::size_t class_index = 0;
  bool direct = false;
  bool resend = false;
  LoadOutcome end = LoadOutcome::kBroken;
  // HTTP status, error type and run status of a refused request, for example
  // "503 capacity not-run".
  std::string refusal;
  // Relative to the start of the run.
  std::chrono::nanoseconds planned_at{0};
  // Measured from the planned time, so that a late start counts as latency.
  std::chrono::nanoseconds first_token{0};
  std::chrono::nanoseconds total{0};
};

// Sends one request and checks the response.
class LoadRequest : public HttpTransferDelegate {
 public:
  using Callback = std::function<void(LoadRequest*, LoadResult)>;

  LoadRequest(CurlLoop& loop,
              const LoadOptions& options,
              const RequestClass& request_class,
              PlannedRequest planned,
              const std::string& address,
              LoadResult result,
              MonotonicTime planned_time,
              Callback callback);
  ~LoadRequest() override;

  bool OnBeforeSend() override { return true; }
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  bool OnBody(std::string_view bytes) override;
  void OnFinished(TransferEnd end, const std::string& message) override;

 private:
  HttpTransferOptions MakeTransfer(const std::string& address);
  void HandleEvent(const std::string& data);
  LoadOutcome CheckResponse() const;
  void Finish(LoadOutcome end);

  CurlLoop& loop_;
  const LoadOptions& options_;
  const RequestClass& class_;
  const PlannedRequest planned_;
  LoadResult result_;
  const MonotonicTime planned_time_;
  Callback callback_;
  std::string body_;
  int status_ = 0;
  bool done_ = false;
  bool error_event_ = false;
  bool has_first_token_ = false;
  std::string text_;
  SseParser parser_;
  CurlLoop::TimerId timer_;
  std::unique_ptr<HttpTransfer> transfer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REQUEST_H_
