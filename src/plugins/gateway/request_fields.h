#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_

#include <chrono>
#include <string>

#include "libs/http_framing/http_fields.h"
#include "libs/relay/header_names.h"
#include "libs/routing/routing_table.h"
#include "plugins/gateway/accepted_request.h"

namespace flamingogauge {

// Readers of the header fields that control how a request is routed. Values
// that cannot be parsed are treated as absent.

// Chooses one of the route's services by weight; deterministic for a request
// id.
std::string ChooseService(const Route& route, const std::string& request_id);

// Returns the caller's time limit, or `fallback` if it states none.
std::chrono::milliseconds ReadCallerTimeout(const RelayHeaderNames& names,
                                            const HttpFields& fields,
                                            std::chrono::milliseconds fallback);

// Sets the token counts of the prompt, its parts and the output.
void ReadTokenCounts(const RelayHeaderNames& names, AcceptedRequest& accepted);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_
