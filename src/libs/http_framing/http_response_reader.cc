#include "libs/http_framing/http_response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>

namespace flamingogauge {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::uint32_t kMaxHeaderBytes = 65536;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view View(string_view text) {
  return {text.data(), text.size()};
}

bool IsValidStatus(int code) {
  return code >= kFirstStatus && code <= kLastStatus &&
         code != kSwitchingProtocols;
}

}  // namespace

class HttpResponseReader::Parser final : public http::basic_parser<false> {
 public:
  HttpResponseHead head;
  std::string* body = nullptr;
  bool failed = false;
  bool is_head_response = false;

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view /*method_name*/,
                       string_view /*target*/,
                       int /*version*/,
                       error_code& /*ec*/) override {}

  void on_response_impl(int code,
                        string_view reason,
                        int /*version*/,
                        error_code& ec) override {
    if (!IsValidStatus(code)) {
      ec = make_error_code(http::error::bad_status);
      return;
    }
    head.status = code;
    head.reason = std::string(View(reason));
  }

  void on_field_impl(http::field /*name*/,
                     string_view name,
                     string_view value,
                     error_code& /*ec*/) override {
    head.fields.Add(View(name), View(value));
  }

  void on_header_impl(error_code& ec) override {
    const std::string* coding = head.fields.Find("Transfer-Encoding");
    if (coding != nullptr && !EqualsIgnoreCase(*coding, "chunked")) {
      ec = make_error_code(http::error::bad_transfer_encoding);
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*ec*/) override {}

  std::size_t on_body_impl(string_view part, error_code& /*ec*/) override {
    body->append(part.data(), part.size());
    return part.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 string_view part,
                                 error_code& ec) override {
    return on_body_impl(part, ec);
  }

  void on_finish_impl(error_code& /*ec*/) override {}
};

HttpResponseReader::HttpResponseReader(bool is_head_response)
    : parser_(std::make_unique<Parser>()) {
  parser_->is_head_response = is_head_response;
  parser_->eager(true);
  parser_->skip(is_head_response);
  parser_->header_limit(kMaxHeaderBytes);
  // With an unset limit, this version of the parser rejects every response that
  // has a Content-Length.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

HttpResponseReader::~HttpResponseReader() = default;

std::size_t HttpResponseReader::Feed(std::string_view bytes,
                                     std::string& body) {
  parser_->body = &body;
  std::size_t used = 0;
  while (used < bytes.size() && !complete() && !failed()) {
    error_code ec;
    const std::size_t n = parser_->put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
    used += n;
    if (ec == http::error::need_more) {
      break;
    }
    parser_->failed = parser_->failed || static_cast<bool>(ec);
    if (n == 0) {
      break;
    }
  }
  return used;
}

void HttpResponseReader::FinishAtEndOfFile() {
  if (!complete() && !failed()) {
    error_code ec;
    parser_->put_eof(ec);
    parser_->failed = static_cast<bool>(ec);
  }
}

bool HttpResponseReader::header_complete() const {
  return parser_->is_header_done();
}

bool HttpResponseReader::complete() const {
  return parser_->is_done();
}

bool HttpResponseReader::failed() const {
  return parser_->failed;
}

bool HttpResponseReader::keep_alive() const {
  return parser_->keep_alive();
}

std::optional<std::uint64_t> HttpResponseReader::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool HttpResponseReader::has_body() const {
  return !parser_->is_head_response && parser_->head.status != kNoContent &&
         parser_->head.status != kNotModified;
}

const HttpResponseHead& HttpResponseReader::head() const {
  return parser_->head;
}

}  // namespace flamingogauge
