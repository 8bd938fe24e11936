#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_EXPLAINER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_EXPLAINER_H_

#include "libs/coordination/placement_view.h"
#include "libs/explaining/explain_question.h"
#include "libs/explaining/explanation.h"
#include "plugins/gateway/relay_context.h"
#include "plugins/gateway/request_classifier.h"

namespace flamingogauge {

// Answers what would become of a request that arrived now. Uses the code that
// decides on real requests and changes nothing.
class RequestExplainer {
 public:
  // Both must outlive the explainer.
  RequestExplainer(const RelayContext& context,
                   const RequestClassifier& classifier)
      : context_(context), classifier_(classifier) {}

  // Error: kInvalidArgument if the question names a workspace without a key.
  Result<Explanation> Explain(const ExplainQuestion& question,
                              const PlacementView& view,
                              MonotonicTime now) const;

 private:
  // Returns the request that the question is about, as a caller would send it.
  Result<ParsedRequest> ToRequest(const ExplainQuestion& question) const;
  PlacementExplanation ExplainPlacement(const AcceptedRequest& accepted,
                                        const PlacementView& view,
                                        MonotonicTime now) const;

  const RelayContext& context_;
  const RequestClassifier& classifier_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_EXPLAINER_H_
