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

// The response to one request. Thread-safe; functions do not block, and do
// nothing once the response has ended or the caller has disconnected.
class HttpExchange {
 public:
  HttpExchange(std::shared_ptr<HttpConnection> connection,
               std::uint64_t number,
               bool chunked);

  // Sets the callbacks for a caller that disconnects before the response has
  // ended, and for its unsent bytes falling to or below the server's
  // `resume_bytes`. Call once, from the server's handler.
  void SetListener(std::function<void()> on_gone,
                   std::function<void()> on_drained);

  // Sends a complete response.
  void SendWhole(int status,
                 const std::vector<HttpHeader>& headers,
                 std::string_view content_type,
                 std::string_view body);

  // Starts a response of unknown length.
  void StartStream(int status,
                   const std::vector<HttpHeader>& headers,
                   std::string_view content_type);

  // Sends a part of a stream; returns the number of unsent bytes.
  std::size_t SendPart(std::string_view bytes);

  // Ends a stream. After an incomplete one the connection is closed without
  // the last chunk, so that the caller detects the truncation.
  void EndStream(bool complete);

 private:
  const std::shared_ptr<HttpConnection> connection_;
  const std::uint64_t number_;
  // False for HTTP/1.0, whose streams end with the connection.
  const bool chunked_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_EXCHANGE_H_
