#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_SERVER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/http_server/http_exchange.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

struct HttpServerSettings {
  // "ip:port"; with port 0 the kernel chooses the port.
  std::string address = "127.0.0.1:0";
  int threads = 2;
  // Maximum size of the head and body of one request.
  std::size_t max_request_bytes = 4U << 20U;
  // Each uses two descriptors. With a further one, idle ones are closed.
  std::size_t max_connections = 8192;
  // Bound on what is held for all connections: requests and unread responses.
  std::size_t max_held_bytes = std::size_t{256} << 20U;
  // Unsent bytes above which a caller is disconnected, and at or below which
  // `on_drained` of its exchange is called.
  std::size_t max_outstanding_bytes = 1U << 20U;
  std::size_t resume_bytes = 256U << 10U;
  // From the first byte of a request to the end of its head, and of the whole.
  std::chrono::milliseconds head_time_limit{10000};
  std::chrono::milliseconds request_time_limit{30000};
  // Maximum time that a connection stays open without a request.
  std::chrono::milliseconds idle_time_limit{75000};
  // Maximum time without a caller reading any byte of a response.
  std::chrono::milliseconds stall_time_limit{30000};
};

// A request as it was received.
struct HttpRequest {
  std::string method;
  std::string path;
  // Without the question mark.
  std::string query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns the value of a header by its lower-case name, or an empty string.
  std::string Header(const std::string& name) const;
};

// Counters of a server for the state dump.
struct HttpServerCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t dropped_slow_readers = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t rejected = 0;
  // Connections closed because of max_held_bytes and of max_connections.
  std::uint64_t closed_for_memory = 0;
  std::uint64_t closed_for_room = 0;
  // Bytes held for all connections.
  std::uint64_t held_bytes = 0;
};

// An HTTP/1.1 server on Pistache. Its handler runs on Pistache's threads and
// must not block.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request,
                                     std::shared_ptr<HttpExchange> exchange)>;
  // A response that the server itself sends to a request that it cannot parse.
  struct ErrorAnswer {
    std::vector<HttpHeader> headers;
    std::string content_type;
    std::string body;
  };
  using ErrorFormat =
      std::function<ErrorAnswer(int status, const std::string& text)>;

  HttpServer(HttpServerSettings settings,
             Handler handler,
             ErrorFormat error_format);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Binds the address and starts the threads.
  Result<void> Start();

  // Calls `done` when no response is in progress or partly unsent. Connections
  // open at this call are closed after their next response.
  void Drain(std::function<void()> done);

  // Closes all connections and joins the threads.
  void Stop();

  // Returns "ip:port" with the port in use.
  std::string ListeningAddress() const;
  HttpServerCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Checks that an address is "ip:port"; the error names the flag.
Result<void> CheckListenAddress(const std::string& flag,
                                const std::string& address);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_SERVER_H_
