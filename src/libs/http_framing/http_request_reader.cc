#include "libs/http_framing/http_request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <utility>

namespace flamingogauge {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kHttp10 = 10;

// Returns whether a line of the head ends with a bare line feed. This parser
// would wait for more data, while another one might end the head there.
bool HasBareLineFeed(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  for (std::size_t at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    if (at == 0 || head[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

std::string_view View(string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::size_t ParsedRequest::HeldBytes() const {
  return target.capacity() + body.capacity() + fields.HeldBytes();
}

class HttpRequestReader::Parser final : public http::basic_parser<true> {
 public:
  ParsedRequest request;
  int refusal_status = 0;
  std::string refusal_reason;

  void Refuse(int status, std::string reason) {
    refusal_status = status;
    refusal_reason = std::move(reason);
  }

  // Rejects requests that two parsers could frame differently, which would
  // allow request smuggling.
  void CheckFraming() {
    const HttpFields& fields = request.fields;
    const std::size_t codings = fields.Count("Transfer-Encoding");
    if (codings > 0) {
      const std::string& coding = *fields.Find("Transfer-Encoding");
      if (codings > 1 || !EqualsIgnoreCase(coding, "chunked")) {
        Refuse(kBadRequest, "the transfer coding is not plain chunked");
      } else if (fields.Count("Content-Length") > 0) {
        Refuse(kBadRequest, "both a length and a transfer coding");
      } else if (request.is_http_1_0) {
        Refuse(kBadRequest, "a transfer coding in HTTP/1.0");
      }
    }
    const std::string* length = fields.Find("Content-Length");
    if (fields.Count("Content-Length") > 1 ||
        (length != nullptr &&
         length->find_first_not_of("0123456789") != std::string::npos)) {
      Refuse(kBadRequest, "not exactly one length");
    }
    if (fields.Count("Host") > 1 ||
        (fields.Count("Host") == 0 && !request.is_http_1_0)) {
      Refuse(kBadRequest, "not exactly one Host field");
    }
  }

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& /*ec*/) override {
    request.method = std::string(View(method));
    request.target = std::string(View(target));
    request.is_http_1_0 = version == kHttp10;
  }

  void on_response_impl(int /*code*/,
                        string_view /*reason*/,
                        int /*version*/,
                        error_code& /*ec*/) override {}

  void on_field_impl(http::field /*name*/,
                     string_view name,
                     string_view value,
                     error_code& /*ec*/) override {
    request.fields.Add(View(name), View(value));
  }

  void on_header_impl(error_code& ec) override {
    CheckFraming();
    if (refusal_status != 0) {
      ec = make_error_code(http::error::bad_value);
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*ec*/) override {}

  std::size_t on_body_impl(string_view body, error_code& /*ec*/) override {
    request.body.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 string_view body,
                                 error_code& ec) override {
    return on_body_impl(body, ec);
  }

  void on_finish_impl(error_code& /*ec*/) override {}
};

HttpRequestReader::HttpRequestReader(const HttpRequestReaderOptions& options)
    : parser_(std::make_unique<Parser>()) {
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
  parser_->body_limit(static_cast<std::uint64_t>(options.max_body_bytes));
}

HttpRequestReader::~HttpRequestReader() = default;

std::size_t HttpRequestReader::Feed(std::string_view bytes) {
  std::size_t used = 0;
  if (!header_complete() && HasBareLineFeed(bytes)) {
    parser_->Refuse(kBadRequest, "a line that ends without a return");
  }
  while (used < bytes.size() && !complete() && refusal_status() == 0) {
    error_code ec;
    const std::size_t n = parser_->put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
    used += n;
    if (ec == http::error::need_more) {
      break;
    }
    if (ec && refusal_status() == 0) {
      int status = kBadRequest;
      if (ec == http::error::header_limit) {
        status = kHeaderTooLarge;
      } else if (ec == http::error::body_limit) {
        status = kPayloadTooLarge;
      }
      parser_->Refuse(status, ec.message());
    }
    if (n == 0 && !complete()) {
      break;
    }
  }
  return used;
}

bool HttpRequestReader::header_complete() const {
  return parser_->is_header_done();
}

bool HttpRequestReader::complete() const {
  return parser_->is_done() && parser_->refusal_status == 0;
}

int HttpRequestReader::refusal_status() const {
  return parser_->refusal_status;
}

const std::string& HttpRequestReader::refusal_reason() const {
  return parser_->refusal_reason;
}

bool HttpRequestReader::expects_continue() const {
  return parser_->request.fields.HasToken("Expect", "100-continue");
}

std::size_t HttpRequestReader::held_bytes() const {
  return parser_->request.HeldBytes();
}

ParsedRequest HttpRequestReader::Take() {
  parser_->request.keep_alive = parser_->keep_alive();
  return std::move(parser_->request);
}

}  // namespace flamingogauge
