#ifndef FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_
#define FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_

#include <string>
#include <vector>

#include "libs/model/ids.h"
#include "libs/model/refusal.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// Returns the HTTP status code for a refusal.
int StatusOf(RefusalKind kind);

// Returns the JSON body of a refusal: {"error":{"type","message","run_status",
// "request_id","retry_after_ms"}}. An empty `request_id` is omitted.
std::string FormatRefusal(const Refusal& refusal,
                          const std::string& request_id);

// Returns Flamingogauge-Run-Status, X-Request-Id unless `request_id` is empty,
// and Retry-After (in whole seconds, rounded up) if a delay is set.
std::vector<HttpHeader> RefusalHeaders(const Refusal& refusal,
                                       const std::string& request_id);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_
