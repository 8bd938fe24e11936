#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_CLASSIFIER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_CLASSIFIER_H_

#include <chrono>
#include <optional>
#include <string>

#include "libs/dispatching/prior_wait_estimator.h"
#include "plugins/gateway/accepted_request.h"
#include "plugins/gateway/relay_context.h"

namespace flamingogauge {

// Why a request is refused before it is queued.
struct Denial {
  int status = 0;
  std::string reason;
  std::optional<std::chrono::milliseconds> retry_after;
  // True if it, or a part of its prompt, is in quarantine.
  bool is_quarantined = false;
};

// Decides by the routing document, the limits and the quarantine what becomes
// of a request on arrival. Changes nothing, so that a question about a request
// gets the same answer as the request itself.
class RequestClassifier {
 public:
  // Both must outlive the classifier.
  RequestClassifier(const RelayContext& context,
                    const PriorWaitEstimator& prior_waits)
      : context_(context), prior_waits_(prior_waits) {}

  // Fills in what follows from the fields of the request; `accepted` must have
  // its id, request, arrival and routing document. Returns why it is refused
  // now, if it is. `now` is the time of the decision.
  std::optional<Denial> Classify(AcceptedRequest& accepted,
                                 MonotonicTime now) const;

  // The time limit that the caller of a request with a route states.
  std::chrono::milliseconds CallerTimeout(
      const AcceptedRequest& accepted) const;

  // The age of the routing document's last confirmation; the longest time
  // without a document.
  Duration RoutingAge(MonotonicTime now) const;

 private:
  std::optional<Denial> CheckRoute(AcceptedRequest& accepted) const;
  std::optional<Denial> CheckKey(AcceptedRequest& accepted) const;
  std::optional<Denial> CheckQuarantine(const AcceptedRequest& accepted) const;
  std::optional<Denial> CheckLimit(AcceptedRequest& accepted) const;
  void ReadFields(AcceptedRequest& accepted) const;

  const RelayContext& context_;
  const PriorWaitEstimator& prior_waits_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_CLASSIFIER_H_
