#include "libs/commandline/operator_client.h"

#include <curl/curl.h>

#include <cctype>
#include <memory>
#include <utility>

namespace flamingogauge {
namespace {

constexpr long kConnectTimeoutMs = 3000;
// Exceeds the time limit of an edit on the host: 10 s by default, 60 s at most.
constexpr long kTotalTimeoutMs = 70000;

std::size_t AppendTo(char* data, std::size_t size, std::size_t n, void* user) {
  static_cast<std::string*>(user)->append(data, size * n);
  return size * n;
}

}  // namespace

OperatorClient::OperatorClient(std::string address, std::string token)
    : address_(std::move(address)), token_(std::move(token)) {}

Result<OperatorResponse> OperatorClient::Call(const std::string& method,
                                              const std::string& path,
                                              const std::string& body) const {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  curl_slist* list =
      curl_slist_append(nullptr, ("Authorization: Bearer " + token_).c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  list = curl_slist_append(list, "Expect:");
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      list, &curl_slist_free_all);
  OperatorResponse response;
  const std::string url = "http://" + address_ + path;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kTotalTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &AppendTo);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response.body);
  if (method == "POST") {
    curl_easy_setopt(easy.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  } else if (method != "GET") {
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  }
  const CURLcode code = curl_easy_perform(easy.get());
  if (code != CURLE_OK) {
    long sent = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_REQUEST_SIZE, &sent);
    return Error{.code = sent > 0 && method != "GET"
                             ? ErrorCode::kUnknownOutcome
                             : ErrorCode::kUnavailable,
                 .step = method + " " + path,
                 .peer = address_,
                 .message = curl_easy_strerror(code)};
  }
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  return response;
}

std::string EncodeUrlPart(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~").find(it) != std::string_view::npos) {
      encoded += it;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

}  // namespace flamingogauge
