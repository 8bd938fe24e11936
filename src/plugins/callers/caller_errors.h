#ifndef FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_
#define FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_

#include <string>
#include <vector>

#include "libs/model/ids.h"
#include "libs/model/refusal.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// The HTTP status of a refusal.
int StatusOf(RefusalKind kind);

// The JSON body of a refusal: {"error":{"type","message","run_status",
// "request_id","retry_after_ms"}}. An empty `request_id` is left out.
std::string FormatRefusal(const Refusal& refusal,
                          const std::string& request_id);

// Flamingogauge-Run-Status, X-Request-Id and Retry-After (in whole seconds,
// rounded up).
std::vector<HttpHeader> RefusalHeaders(const Refusal& refusal,
                                       const std::string& request_id);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CALLERS_CALLER_ERRORS_H_
