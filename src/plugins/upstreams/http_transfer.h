#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_HTTP_TRANSFER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libs/services/upstream_client.h"

namespace flamingogauge {

class CurlLoop;

struct HttpTransferOptions {
  std::string method = "GET";
  // "ip:port".
  std::string address;
  std::string path = "/";
  std::vector<HttpHeader> headers;
  // Must stay valid and unchanged until the transfer ends.
  std::string_view body;
  std::chrono::milliseconds connect_time_limit{1000};
  // An idle connection that is older is not used.
  std::chrono::seconds max_idle_time{30};
  // Opens a connection instead of taking one from the pool.
  bool fresh_connection = false;
  // Ends when the connection is open, without a request.
  bool connect_only = false;
};

// How a transfer ended.
enum class TransferEnd {
  kComplete,
  // The peer's address answered that nobody listens there.
  kConnectionRefused,
  // No connection could be opened.
  kNotConnected,
  // The connection ended or failed before the answer was whole.
  kBroken,
  // The delegate stopped the transfer.
  kStopped,
};

// Receives what happens to a transfer. No function may start or destroy
// transfers except OnFinished, which may also destroy its own.
class HttpTransferDelegate {
 public:
  virtual ~HttpTransferDelegate() = default;

  // The connection is open and no byte has been written on it. Returns false
  // to stop the transfer. Called a second time when libcurl wants to repeat a
  // request whose reused connection ended without an answer.
  virtual bool OnBeforeSend() = 0;
  virtual void OnHead(int status, std::vector<HttpHeader> headers) = 0;
  // Returns false to stop the transfer.
  virtual bool OnBody(std::string_view bytes) = 0;
  // `message` describes the failure for a log line.
  virtual void OnFinished(TransferEnd end, const std::string& message) = 0;
};

// One HTTP exchange. libcurl follows no redirects, uses no proxy and sends no
// "Expect" header, so a request leaves at most once without a question.
class HttpTransfer {
 public:
  // Starts the transfer on the loop; call on its thread.
  HttpTransfer(CurlLoop& loop,
               const HttpTransferOptions& options,
               HttpTransferDelegate& delegate);
  // Aborts the transfer, which closes its connection, if it has not ended.
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Stops or continues the reading of the answer.
  void SetPaused(bool paused);

  // True when all bytes of the request's body have been written.
  bool BodySent() const;

  CURL* easy() const { return easy_; }

  // Called by the loop when libcurl reports the end.
  void Finish(CURLcode code);

 private:
  static int OnPrereq(void* self,
                      char* remote_ip,
                      char* local_ip,
                      int remote_port,
                      int local_port);
  static std::size_t OnHeaderLine(char* data,
                                  std::size_t size,
                                  std::size_t count,
                                  void* self);
  static std::size_t OnBytes(char* data,
                             std::size_t size,
                             std::size_t count,
                             void* self);

  void SetOptions(const HttpTransferOptions& options);
  bool HandleHeaderLine(std::string_view line);

  CurlLoop& loop_;
  HttpTransferDelegate& delegate_;
  CURL* easy_ = nullptr;
  curl_slist* header_list_ = nullptr;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
  std::size_t body_size_ = 0;
  int status_ = 0;
  bool head_complete_ = false;
  std::size_t header_bytes_ = 0;
  std::vector<HttpHeader> headers_;
  bool active_ = false;
  bool sent_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_HTTP_TRANSFER_H_
