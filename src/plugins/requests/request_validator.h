#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_VALIDATOR_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_VALIDATOR_H_

#include <string>
#include <variant>
#include <vector>

#include "libs/document/document.h"
#include "libs/requests/request_events.h"
#include "libs/services/request_intake.h"

namespace flamingogauge {

// A validated request: the input of the state machine and the HTTP request for
// the upstream.
struct ValidRequest {
  RequestSpec spec;
  std::string tier_name;
  // Target for the time from acceptance to the first token.
  std::chrono::milliseconds first_token_target{0};
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Checks a caller's request against the document and resolves the workspace,
// the tier and the target. A refusal's run status is final: nothing was
// executed by this attempt, but a request with an idempotency key may have been
// attempted before.
std::variant<ValidRequest, Refusal> ValidateRequest(const Document& document,
                                                    const RequestId& id,
                                                    CallerRequest request,
                                                    MonotonicTime now);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_VALIDATOR_H_
