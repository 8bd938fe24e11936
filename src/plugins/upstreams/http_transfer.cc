#include "plugins/upstreams/http_transfer.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "plugins/upstreams/curl_loop.h"

namespace flamingogauge {
namespace {

// Large enough for a few events. libcurl allocates this buffer for each open
// transfer, so it adds to the memory of every open stream.
constexpr long kReceiveBufferBytes = 4096;
constexpr long kSendBufferBytes = 16384;
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' ||
                           text.back() == '\r' || text.back() == '\n')) {
    text.remove_suffix(1);
  }
  return text;
}

TransferEnd ClassifyEnd(CURL* easy, CURLcode code, bool sent) {
  if (code == CURLE_OK) {
    return TransferEnd::kComplete;
  }
  if (code == CURLE_ABORTED_BY_CALLBACK || code == CURLE_WRITE_ERROR) {
    return TransferEnd::kStopped;
  }
  if (sent) {
    return TransferEnd::kBroken;
  }
  long os_error = 0;
  curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_error);
  return code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED
             ? TransferEnd::kConnectionRefused
             : TransferEnd::kNotConnected;
}

}  // namespace

HttpTransfer::HttpTransfer(CurlLoop& loop,
                           const HttpTransferOptions& options,
                           HttpTransferDelegate& delegate)
    : loop_(loop),
      delegate_(delegate),
      easy_(curl_easy_init()),
      body_size_(options.body.size()) {
  SetOptions(options);
  active_ = true;
  loop_.Add(*this);
}

HttpTransfer::~HttpTransfer() {
  if (active_) {
    loop_.Remove(*this);
  }
  curl_easy_cleanup(easy_);
  curl_slist_free_all(header_list_);
}

void HttpTransfer::SetOptions(const HttpTransferOptions& options) {
  const std::string url = "http://" + options.address + options.path;
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy_, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options.max_idle_time.count()));
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options.connect_time_limit.count()));
  curl_easy_setopt(easy_, CURLOPT_ERRORBUFFER, error_text_.data());
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &HttpTransfer::OnPrereq);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeaderLine);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBytes);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  if (options.fresh_connection) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
  }
  if (options.connect_only) {
    curl_easy_setopt(easy_, CURLOPT_CONNECT_ONLY, 1L);
    return;
  }
  if (options.method == "POST" || !options.body.empty()) {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, options.body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(options.body.size()));
  }
  if (options.method != "POST") {
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, options.method.c_str());
  }
  header_list_ = curl_slist_append(header_list_, "Expect:");
  // Implied by HTTP/1.1, but Pistache closes connections without it.
  header_list_ = curl_slist_append(header_list_, "Connection: keep-alive");
  for (const HttpHeader& it : options.headers) {
    // libcurl expects "Name;" for a header with an empty value.
    const std::string line =
        it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
}

void HttpTransfer::SetPaused(bool paused) {
  if (active_) {
    curl_easy_pause(easy_, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  }
}

bool HttpTransfer::BodySent() const {
  curl_off_t sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
  return static_cast<std::size_t>(sent) >= body_size_;
}

void HttpTransfer::Finish(CURLcode code) {
  const TransferEnd end = ClassifyEnd(easy_, code, sent_);
  loop_.Remove(*this);
  active_ = false;
  const std::string message =
      error_text_[0] != '\0' ? error_text_.data() : curl_easy_strerror(code);
  delegate_.OnFinished(end, message);
}

int HttpTransfer::OnPrereq(void* self,
                           char* /*remote_ip*/,
                           char* /*local_ip*/,
                           int /*remote_port*/,
                           int /*local_port*/) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  if (!transfer->delegate_.OnBeforeSend()) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->sent_ = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t HttpTransfer::OnHeaderLine(char* data,
                                       std::size_t size,
                                       std::size_t count,
                                       void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::size_t n = size * count;
  transfer->header_bytes_ += n;
  const bool fits = transfer->header_bytes_ <= kMaxHeaderBytes;
  return fits && transfer->HandleHeaderLine({data, n}) ? n : 0;
}

bool HttpTransfer::HandleHeaderLine(std::string_view line) {
  if (head_complete_) {
    // Trailers are ignored.
    return true;
  }
  const std::string_view text = Trim(line);
  if (text.substr(0, 5) == "HTTP/") {
    const std::size_t space = text.find(' ');
    status_ = space == std::string_view::npos
                  ? 0
                  : std::atoi(std::string(text.substr(space + 1, 3)).c_str());
    headers_.clear();
    return true;
  }
  if (!text.empty()) {
    const std::size_t colon = text.find(':');
    if (colon != std::string_view::npos) {
      headers_.push_back({std::string(text.substr(0, colon)),
                          std::string(Trim(text.substr(colon + 1)))});
    }
    return true;
  }
  // Responses with a status below 200 are interim; the final one follows.
  constexpr int kFirstFinalStatus = 200;
  if (status_ >= kFirstFinalStatus) {
    head_complete_ = true;
    delegate_.OnHead(status_, std::move(headers_));
  }
  return true;
}

std::size_t HttpTransfer::OnBytes(char* data,
                                  std::size_t size,
                                  std::size_t count,
                                  void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::size_t n = size * count;
  // Returning a number other than `n` aborts the transfer.
  return transfer->delegate_.OnBody({data, n}) ? n : n + 1;
}

}  // namespace flamingogauge
