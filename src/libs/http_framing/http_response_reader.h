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

// Reads one response and hands out its body as it arrives.
class HttpResponseReader {
 public:
  // A response to HEAD has no body, whatever its fields say.
  explicit HttpResponseReader(bool answers_head);
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;
  ~HttpResponseReader();

  // Consumes bytes up to the end of the response, appends the decoded body to
  // `body`, and returns how many bytes were used; the rest is to be presented
  // again with more behind it.
  std::size_t Feed(std::string_view bytes, std::string& body);

  // The connection was closed in order; completes a response without a length.
  void FinishAtEndOfFile();

  bool header_complete() const;
  bool complete() const;
  // True after bytes that are no response.
  bool failed() const;
  // True when the connection can carry another request after this response.
  bool keep_alive() const;
  // The body's length when the header states it.
  std::optional<std::uint64_t> content_length() const;
  // True when the response has a body of any length.
  bool has_body() const;
  const HttpResponseHead& head() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_RESPONSE_READER_H_
