#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CODEC_H_

#include "libs/directory/relay_messages.h"
#include "protocol/directory.capnp.h"

namespace flamingogauge {

// Convert between the relay's messages and their Cap'n Proto form. The readers
// throw kj::Exception for a message that cannot be read.
void WriteRelayQuestion(const RelayQuestion& question,
                        wire::RelayQuestion::Builder to);
RelayQuestion ReadRelayQuestion(wire::RelayQuestion::Reader from);

void WriteRelayReply(const RelayReply& reply, wire::RelayReply::Builder to);
RelayReply ReadRelayReply(wire::RelayReply::Reader from);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CODEC_H_
