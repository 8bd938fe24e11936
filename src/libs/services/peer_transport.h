#ifndef FLAMINGOGAUGE_LIBS_SERVICES_PEER_TRANSPORT_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_PEER_TRANSPORT_H_

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Calls between entry hosts. A channel belongs to one plugin, which defines
// the payloads as Cap'n Proto messages in libs/protocol.
class PeerTransport {
 public:
  static constexpr std::string_view kServiceName = "peers.transport";

  using ReplyCallback = std::function<void(Result<std::string>)>;
  // Answers a call by invoking the callback once, from any thread.
  using Handler = std::function<
      void(const HostId& from, std::string payload, ReplyCallback reply)>;

  virtual ~PeerTransport() = default;

  // Registers the handler of a channel, which runs on the peers thread and
  // must not block. Call from ExtensionsInitialized.
  virtual void Handle(std::string channel, Handler handler) = 0;

  // Calls a channel of another host. The callback runs once on the peers
  // thread. Errors: kUnavailable (not delivered), kTimeout (the peer may have
  // handled it), kNotFound (unknown host or channel), kResourceExhausted.
  virtual void Call(HostId host,
                    std::string channel,
                    std::string payload,
                    std::chrono::milliseconds time_limit,
                    ReplyCallback callback) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_PEER_TRANSPORT_H_
