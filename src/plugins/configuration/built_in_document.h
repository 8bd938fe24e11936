#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_BUILT_IN_DOCUMENT_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_BUILT_IN_DOCUMENT_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// The bearer key of the built-in document's one workspace.
inline constexpr std::string_view kBuiltInKey = "demo-key";

// Returns a document for a single host without a platform: one workspace "demo"
// with the key above, and one engine that serves the model "echo".
// `engine_address` is "ip:port".
std::string BuiltInDocument(std::string_view engine_address,
                            std::string_view data_centre = "local");

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_BUILT_IN_DOCUMENT_H_
