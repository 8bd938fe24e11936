#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_

#include <chrono>
#include <string>

#include "libs/http_framing/http_fields.h"
#include "libs/relay/header_names.h"
#include "libs/routing/routing_table.h"
#include "plugins/gateway/exchange.h"

namespace flamingogauge {

// Readers of the header fields that decide the way of a request. Text that
// cannot be read counts as absent.

// The service of a route for one request; the same for the same id.
std::string ChooseService(const Route& route, const std::string& request_id);

// How long the caller waits; `fallback` when it does not say.
std::chrono::milliseconds ReadPatience(const RelayHeaderNames& names,
                                       const HttpFields& fields,
                                       std::chrono::milliseconds fallback);

// Sets the sizes of the prompt, its parts and the output.
void ReadSize(const RelayHeaderNames& names, AcceptedRequest& accepted);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REQUEST_FIELDS_H_
