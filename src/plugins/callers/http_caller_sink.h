#ifndef FLAMINGOGAUGE_PLUGINS_CALLERS_HTTP_CALLER_SINK_H_
#define FLAMINGOGAUGE_PLUGINS_CALLERS_HTTP_CALLER_SINK_H_

#include <memory>
#include <string>
#include <vector>

#include "libs/http_server/http_exchange.h"
#include "libs/services/request_intake.h"

namespace flamingogauge {

// Writes the response to one caller as HTTP.
class HttpCallerSink : public CallerSink {
 public:
  explicit HttpCallerSink(std::shared_ptr<HttpExchange> exchange);

  void SendWhole(int status,
                 std::vector<HttpHeader> headers,
                 std::string content_type,
                 std::string body) override;
  void StartStream(std::vector<HttpHeader> headers) override;
  std::size_t SendEvent(std::string_view data) override;
  void FinishStream() override;
  void FailStream(RequestId id, const Refusal& refusal) override;
  void SendRefusal(RequestId id, const Refusal& refusal) override;

 private:
  const std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CALLERS_HTTP_CALLER_SINK_H_
