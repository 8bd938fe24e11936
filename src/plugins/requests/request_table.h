#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_TABLE_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "libs/requests/request_state_machine.h"
#include "libs/services/claim_service.h"
#include "libs/services/document_source.h"
#include "libs/services/permit_broker.h"
#include "libs/services/quarantine_service.h"
#include "libs/services/upstream_client.h"
#include "plugins/requests/answer_assembler.h"
#include "plugins/requests/request_inbox.h"
#include "plugins/requests/request_metrics.h"
#include "plugins/requests/request_validator.h"

namespace flamingogauge {

// The services that execute the actions of the state machines.
struct RequestServices {
  DocumentSource* document = nullptr;
  PermitBroker* permits = nullptr;
  ClaimService* claims = nullptr;
  UpstreamClient* upstreams = nullptr;
  // Null if no plugin provides it.
  QuarantineService* quarantine = nullptr;
};

// The requests in progress. Passes events to their state machines and executes
// the resulting actions. Used by the requests thread only.
class RequestTable {
 public:
  RequestTable(RequestServices services,
               std::shared_ptr<RequestInbox> inbox,
               RequestMetrics* metrics,
               std::size_t max_requests);

  void Handle(RequestMessage message, MonotonicTime now);
  // Sends a timer event to the requests whose timeout has passed.
  void HandleTimeouts(MonotonicTime now);
  void Drain(MonotonicTime now);

  std::size_t size() const { return requests_.size(); }
  // Returns the earliest timeout, at which HandleTimeouts must be called.
  MonotonicTime NextTimeout() const;
  // Returns members of a JSON object, of bounded size.
  std::string Dump() const;

 private:
  struct ActiveRequest {
    ActiveRequest(ValidRequest valid, std::shared_ptr<CallerSink> caller_sink);

    RequestStateMachine machine;
    const std::string tier_name;
    const std::chrono::milliseconds first_token_target;
    const std::string method;
    const std::string path;
    const std::vector<HttpHeader> headers;
    const std::string body;
    std::shared_ptr<CallerSink> sink;
    std::unique_ptr<AnswerAssembler> assembler;
    MonotonicTime timeout = MonotonicTime::max();
    MonotonicTime last_event_at;
  };
  using ActivePointer = std::shared_ptr<ActiveRequest>;

  void Submit(const RequestId& id, SubmitMessage message, MonotonicTime now);
  void HandleLateEvent(const RequestId& id, const RequestEvent& event);
  void Dispatch(const ActivePointer& request,
                const RequestEvent& event,
                MonotonicTime now);
  void UpdateTimeout(const ActivePointer& request);

  void Execute(const ActivePointer& request, AcquireClaimAction action);
  void Execute(const ActivePointer& request, const AbandonClaimAction& action);
  void Execute(const ActivePointer& request, const ReleaseClaimAction& action);
  void Execute(const ActivePointer& request, RecordClaimAction action);
  void Execute(const ActivePointer& request,
               const LeaveClaimUnresolvedAction& action);
  void Execute(const ActivePointer& request, RequestPermitAction action);
  void Execute(const ActivePointer& request, const CancelPermitAction& action);
  void Execute(const ActivePointer& request, const ReportPermitAction& action);
  void Execute(const ActivePointer& request, const StartUpstreamAction& action);
  void Execute(const ActivePointer& request,
               const CancelUpstreamAction& action);
  void Execute(const ActivePointer& request, const PauseUpstreamAction& action);
  void Execute(const ActivePointer& request, const StartResponseAction& action);
  void Execute(const ActivePointer& request, const SendEventAction& action);
  void Execute(const ActivePointer& request,
               const FinishResponseAction& action);
  void Execute(const ActivePointer& request, SendResponseAction action);
  void Execute(const ActivePointer& request, const FailResponseAction& action);
  void Execute(const ActivePointer& request, const SendRefusalAction& action);
  void Execute(const ActivePointer& request, const RemoveRequestAction& action);

  void SendAssembledResponse(ActiveRequest& request);
  void ObserveEvent(ActiveRequest& request);
  void CountCompleted(const ActiveRequest& request);

  const RequestServices services_;
  const std::shared_ptr<RequestInbox> inbox_;
  RequestMetrics* const metrics_;
  const std::size_t max_requests_;
  std::unordered_map<RequestId, ActivePointer> requests_;
  // Keyed by timeout and sequence number.
  std::map<std::pair<MonotonicTime, std::uint64_t>, RequestId> timeouts_;
  MonotonicTime now_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_TABLE_H_
