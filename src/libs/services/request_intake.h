#ifndef FLAMINGOGAUGE_LIBS_SERVICES_REQUEST_INTAKE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_REQUEST_INTAKE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/model/ids.h"
#include "libs/model/refusal.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// A request as it came from a caller, authenticated by nobody yet.
struct CallerRequest {
  // "/v1/chat/completions" or "/v1/services/<service>/<path>".
  std::string method;
  std::string path;
  std::string query;
  std::string bearer_key;
  std::string idempotency_key;
  // The tier's name, or empty.
  std::string tier;
  std::string content_type;
  std::string body;
};

// The way back to one caller. Functions are called in order from the requests
// thread, return at once, and do nothing after the caller hung up.
class CallerSink {
 public:
  virtual ~CallerSink() = default;

  // Sends a whole answer and ends it.
  virtual void SendWhole(int status,
                         std::vector<HttpHeader> headers,
                         std::string content_type,
                         std::string body) = 0;

  // Starts a streamed answer with status 200 and server-sent events.
  virtual void StartStream(std::vector<HttpHeader> headers) = 0;

  // Sends one server-sent event. Returns the bytes not yet taken by the
  // caller, from which the sender decides to pause.
  virtual std::size_t SendEvent(std::string_view data) = 0;

  // Ends a complete stream with the [DONE] event.
  virtual void FinishStream() = 0;

  // Ends an incomplete stream with an error event and no [DONE].
  virtual void FailStream(RequestId id, const Refusal& refusal) = 0;

  // Sends a refusal as a whole answer and ends it.
  virtual void SendRefusal(RequestId id, const Refusal& refusal) = 0;
};

// Takes requests from the callers' plugin. Safe from any thread.
class RequestIntake {
 public:
  static constexpr std::string_view kServiceName = "requests.intake";

  virtual ~RequestIntake() = default;

  // Accepts a request and returns its id. A full ring is answered through the
  // sink as kUnavailable and kNotRun.
  virtual RequestId Submit(CallerRequest request,
                           std::shared_ptr<CallerSink> sink) = 0;

  // The caller hung up; its upstream call is cancelled, unless it is
  // non-idempotent and already sent.
  virtual void CallerGone(RequestId id) = 0;

  // The bytes that the caller has not taken fell below the mark at which its
  // upstream call may continue.
  virtual void CallerDrained(RequestId id) = 0;

  // Refuses new and queued requests; those in flight go on.
  virtual void BeginDrain() = 0;

  // True while new requests are accepted.
  virtual bool IsReady() const = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_REQUEST_INTAKE_H_
