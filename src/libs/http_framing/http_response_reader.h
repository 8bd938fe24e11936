#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_RESPONSE_READER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libs/http_framing/http_fields.h"

namespace flamingogauge {

// Status line and header fields of a response.
struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HttpFields fields;
};

// Incremental parser for one response that returns the body as it arrives.
class HttpResponseReader {
 public:
  // `is_head_response` is for the response to a HEAD request, which has no body
  // whatever its header fields state.
  explicit HttpResponseReader(bool is_head_response);
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;
  ~HttpResponseReader();

  // Consumes bytes up to the end of the response, appends the decoded body to
  // `body` and returns the number of consumed bytes. The caller must pass the
  // remaining bytes again, followed by new ones.
  std::size_t Feed(std::string_view bytes, std::string& body);

  // Called when the peer has closed the connection in order, which completes a
  // response without a length.
  void FinishAtEndOfFile();

  bool header_complete() const;
  bool complete() const;
  // Returns whether the input was not a valid response. A status outside 100 to
  // 599 is not valid, nor is 101, since no request asks for another protocol.
  bool failed() const;
  // Returns whether the connection can be reused after this response.
  bool keep_alive() const;
  // The value of Content-Length, if present.
  std::optional<std::uint64_t> content_length() const;
  // Returns whether the response has a body, which may be empty.
  bool has_body() const;
  const HttpResponseHead& head() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_RESPONSE_READER_H_
