#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_REQUEST_READER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "libs/http_framing/http_fields.h"

namespace flamingogauge {

// A complete request. Method, target and body are as the sender wrote them.
struct ParsedRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  bool is_http_1_0 = false;
  bool keep_alive = true;

  // The memory in use, in bytes.
  std::size_t HeldBytes() const;
};

struct HttpRequestReaderOptions {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1U << 22U;
};

// Incremental parser for one request with strict framing: a message of
// ambiguous length is rejected.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(const HttpRequestReaderOptions& options);
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;
  ~HttpRequestReader();

  // Consumes bytes up to the end of the request and returns their number. The
  // caller must pass the remaining bytes again, followed by new ones. Does
  // nothing after an error.
  std::size_t Feed(std::string_view bytes);

  bool header_complete() const;
  bool complete() const;
  // The response status for a rejected request (400, 413, 431 or 501), or 0.
  int refusal_status() const;
  // Why the request was rejected.
  const std::string& refusal_reason() const;
  // Returns whether the sender waits for "100 Continue" before sending the
  // body.
  bool expects_continue() const;

  // The memory in use for the received part of the request, in bytes.
  std::size_t held_bytes() const;

  // Moves the request out. Must be called once, after complete().
  ParsedRequest Take();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_REQUEST_READER_H_
