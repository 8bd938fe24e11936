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
  // Pooled connections that have been idle for longer are not reused.
  std::chrono::seconds max_idle_time{30};
  // Opens a new connection instead of reusing one from the pool.
  bool fresh_connection = false;
  // Finishes once the connection is established, without sending a request.
  bool connect_only = false;
};

enum class TransferEnd {
  kComplete,
  // The connection attempt failed with ECONNREFUSED.
  kConnectionRefused,
  // No connection could be established for another reason.
  kNotConnected,
  // The connection closed or failed before the response was complete.
  kBroken,
  // The delegate stopped the transfer.
  kStopped,
};

// Receives the events of a transfer. Only OnFinished may start or destroy
// transfers, including the one that calls it.
class HttpTransferDelegate {
 public:
  virtual ~HttpTransferDelegate() = default;

  // Called when the connection is established and nothing has been written.
  // Returns false to stop the transfer. Called again when libcurl retries a
  // request whose reused connection closed without a response.
  virtual bool OnBeforeSend() = 0;
  virtual void OnHead(int status, std::vector<HttpHeader> headers) = 0;
  // Returns false to stop the transfer.
  virtual bool OnBody(std::string_view bytes) = 0;
  // `message` describes the failure for logs.
  virtual void OnFinished(TransferEnd end, const std::string& message) = 0;
};

// One HTTP exchange. libcurl follows no redirects, uses no proxy and sends no
// "Expect" header. It sends a request again only after another OnBeforeSend.
class HttpTransfer {
 public:
  // Starts the transfer. Must be called on the loop's thread.
  HttpTransfer(CurlLoop& loop,
               const HttpTransferOptions& options,
               HttpTransferDelegate& delegate);
  // Aborts an unfinished transfer, which closes its connection.
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Pauses or resumes reading the response.
  void SetPaused(bool paused);

  // Returns whether the whole request body has been written.
  bool BodySent() const;

  CURL* easy() const { return easy_; }

  // Called by the loop when libcurl reports completion.
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
