#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_NODE_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_NODE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "libs/directory/relay_messages.h"
#include "libs/directory/source_policy.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// Asks other hosts what they have read from the store, and passes on their
// questions, by Cap'n Proto RPC on a dedicated thread.
class RelayNode {
 public:
  using ReplyCallback = std::function<void(RelayReply)>;
  // Answers a question by invoking the callback once, from any thread. Runs on
  // the node's thread and must not block.
  using Handler = std::function<void(const RelayQuestion&, ReplyCallback)>;
  using AskCallback = std::function<void(Result<RelayReply>)>;

  explicit RelayNode(Handler handler);
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;
  ~RelayNode();

  // Starts the thread and listens on "ip:port".
  Result<void> Start(const std::string& address);

  // Sets the IP addresses whose questions are answered. The answers contain API
  // keys, so that no others may ask.
  void SetAllowedAddresses(std::set<std::string> addresses);

  // Asks a peer; the callback runs once on the node's thread. Errors:
  // kUnavailable (not connected, or the connection ended), kTimeout,
  // kResourceExhausted (too many tasks).
  void Ask(const RelayPeer& peer,
           const RelayQuestion& question,
           std::chrono::milliseconds time_limit,
           const AskCallback& callback);

 private:
  class Endpoint;
  struct Private;
  std::unique_ptr<Private> private_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_NODE_H_
