#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SIMPLE_EXCHANGE_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SIMPLE_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/upstreams/curl_loop.h"
#include "plugins/upstreams/http_transfer.h"

namespace flamingogauge {

// One request whose response is buffered and delivered whole, with a time
// limit.
class SimpleExchange : public HttpTransferDelegate {
 public:
  struct Outcome {
    bool complete = false;
    bool timed_out = false;
    int status = 0;
    std::string body;
  };
  // May destroy the exchange.
  using Callback = std::function<void(Outcome)>;

  // Responses with a larger body fail.
  static constexpr std::size_t kMaxBodyBytes = 1U << 20U;

  SimpleExchange(CurlLoop& loop,
                 const HttpTransferOptions& options,
                 std::chrono::milliseconds time_limit,
                 Callback callback);
  ~SimpleExchange() override;

  bool OnBeforeSend() override { return true; }
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  bool OnBody(std::string_view bytes) override;
  void OnFinished(TransferEnd end, const std::string& message) override;

 private:
  void Finish();

  CurlLoop& loop_;
  Callback callback_;
  Outcome outcome_;
  CurlLoop::TimerId timer_;
  std::unique_ptr<HttpTransfer> transfer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SIMPLE_EXCHANGE_H_
