#ifndef FLAMINGOGAUGE_LIBS_SERVICES_UPSTREAM_CLIENT_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"
#include "libs/model/upstream_health.h"

namespace flamingogauge {

struct HttpHeader {
  std::string name;
  std::string value;
};

// How far an attempt that failed had come.
enum class ExecutionKnowledge {
  kNothingSent,  // no byte of the request was written
  kNotExecuted,  // the upstream refused before executing
  kMaybeExecuted,
};

// One call to an upstream.
struct UpstreamCall {
  RequestId id;
  UpstreamId upstream;
  // "ip:port".
  std::string address;
  // "GET" or "POST".
  std::string method = "POST";
  // Path and query, for example "/v1/chat/completions".
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  // True for engines: the answer is a stream of server-sent events that can be
  // resumed and cancelled.
  bool is_engine = false;
  // The largest answer that is accepted from a service, in bytes.
  std::size_t max_answer_bytes = 4U << 20U;
  std::chrono::milliseconds connect_time_limit{1000};
  std::chrono::milliseconds first_byte_time_limit{30000};
  // The longest silence between bytes of a stream before it is resumed on a
  // new connection.
  std::chrono::milliseconds gap_time_limit{5000};
  std::chrono::milliseconds total_time_limit{120000};
};

// Receives what happens to a call, in order, on the client's thread. Exactly
// one of OnComplete and OnFailed ends it. Implementations must not block.
class UpstreamCallObserver {
 public:
  virtual ~UpstreamCallObserver() = default;

  // The first byte of the request is about to leave. Returns false to stop the
  // call, which then fails with kNothingSent.
  virtual bool OnSending() = 0;

  // The status and headers of the answer. Not called again on a resume.
  virtual void OnHead(int status, std::vector<HttpHeader> headers) = 0;

  // The payload of one server-sent event of an engine, without "data: " and in
  // order without gaps or repetitions; or a part of a service's answer.
  virtual void OnData(std::string data) = 0;

  // The answer is whole: an engine's stream ended with [DONE], or a service's
  // body is complete.
  virtual void OnComplete() = 0;

  virtual void OnFailed(Error error, ExecutionKnowledge knowledge) = 0;
};

// Calls upstreams. All functions return at once and are safe from any thread.
class UpstreamClient {
 public:
  static constexpr std::string_view kServiceName = "upstreams.client";

  using LoadListener = std::function<void(LoadReport)>;
  using CacheListener = std::function<void(CacheEvent)>;

  virtual ~UpstreamClient() = default;

  // Starts a call. A client that has no room reports OnFailed with
  // kResourceExhausted and kNothingSent.
  virtual void Start(UpstreamCall call,
                     std::shared_ptr<UpstreamCallObserver> observer) = 0;

  // Cancels a call, also at the engine; it then ends with kCancelled. Unknown
  // ids are ignored.
  virtual void Cancel(RequestId id) = 0;

  // Pauses and resumes the reading of an answer while the caller is slow.
  virtual void SetPaused(RequestId id, bool paused) = 0;

  // Delivers load reports and cache events of engines on the client's thread.
  // Call from ExtensionsInitialized.
  virtual void SubscribeLoad(LoadListener listener) = 0;
  virtual void SubscribeCache(CacheListener listener) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_UPSTREAM_CLIENT_H_
