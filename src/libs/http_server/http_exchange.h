#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_EXCHANGE_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/services/upstream_client.h"

namespace flamingogauge {

class HttpConnection;

// The answer to one request. Safe from any thread; functions return at once
// and do nothing when the answer has ended or the caller hung up.
class HttpExchange {
 public:
  HttpExchange(std::shared_ptr<HttpConnection> connection,
               std::uint64_t number,
               bool chunked);

  // Sets what happens when the caller hangs up before the answer has ended,
  // and when its unread bytes fall below the server's `resume_bytes`. Call
  // once, from the server's handler.
  void SetListener(std::function<void()> on_gone,
                   std::function<void()> on_drained);

  // Sends a whole answer.
  void SendWhole(int status,
                 const std::vector<HttpHeader>& headers,
                 std::string_view content_type,
                 std::string_view body);

  // Starts an answer of unknown length.
  void StartStream(int status,
                   const std::vector<HttpHeader>& headers,
                   std::string_view content_type);

  // Sends a part of a stream; returns the bytes that the caller has not taken.
  std::size_t SendPart(std::string_view bytes);

  // Ends a stream. After an incomplete one the connection is closed without
  // the last chunk, so that the caller notices in any case.
  void EndStream(bool complete);

 private:
  const std::shared_ptr<HttpConnection> connection_;
  const std::uint64_t number_;
  // False for HTTP/1.0, whose streams end with the connection.
  const bool chunked_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_EXCHANGE_H_
