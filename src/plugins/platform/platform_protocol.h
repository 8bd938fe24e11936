#ifndef FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PROTOCOL_H_
#define FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/services/host_list.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// JSON encoding of the platform's API. Decoders return std::nullopt for
// malformed input.

// {"key", "value", "version"}. A value that is not valid UTF-8 is written to
// "value_base64" instead of "value".
std::string EncodeObject(const StoredObject& object);
std::optional<StoredObject> DecodeObject(std::string_view text);

// {"objects": [{"key", "version"}]}; the values are left out.
std::string EncodeObjectList(const std::vector<StoredObject>& objects);
std::optional<std::vector<StoredObject>> DecodeObjectList(
    std::string_view text);

// {"hosts": [{"host", "data_centre", "region", "peer_address", "leaving"}]}.
std::string EncodeHosts(const std::vector<ListedHost>& hosts);
std::optional<std::vector<ListedHost>> DecodeHosts(std::string_view text);

// Percent-encodes all bytes except unreserved characters and slashes.
std::string EncodeKey(std::string_view key);
std::string DecodeKey(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PROTOCOL_H_
