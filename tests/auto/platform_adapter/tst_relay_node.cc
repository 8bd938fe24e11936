#include <doctest/doctest.h>
#include <sys/socket.h>

#include <chrono>
#include <future>
#include <string>

#include "plugins/directory/relay_node.h"
#include "tests/support/free_address.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {
namespace {

// Guards against a host that no longer answers the others, because a connection
// was reset before it was accepted; they would all read the store themselves.
TEST_CASE("connections that are reset early do not end the acceptance") {
  constexpr int kResets = 300;
  const std::string address = FreeAddress(SOCK_STREAM);
  RelayNode node(
      [](const RelayQuestion& /*question*/,
         const RelayNode::ReplyCallback& reply) { reply(RelayReply()); });
  REQUIRE(node.Start(address));
  node.SetAllowedAddresses({"127.0.0.1"});
  for (int n = 0; n < kResets; ++n) {
    TestConnection(address).Reset();
  }
  RelayNode other([](const RelayQuestion& /*question*/,
                     const RelayNode::ReplyCallback& /*reply*/) {});
  REQUIRE(other.Start(FreeAddress(SOCK_STREAM)));
  std::promise<bool> answered;
  other.Ask({.name = "node", .address = address}, {},
            std::chrono::milliseconds(3000),
            [&answered](const Result<RelayReply>& reply) {
              answered.set_value(reply.has_value());
            });
  CHECK(answered.get_future().get());
}

// Guards against an address in another host's entry that ends the process.
TEST_CASE("asking at an unusable address fails") {
  RelayNode node([](const RelayQuestion& /*question*/,
                    const RelayNode::ReplyCallback& /*reply*/) {});
  REQUIRE(node.Start(FreeAddress(SOCK_STREAM)));
  for (const std::string& address :
       {std::string("127.0.0.1:99999"), std::string("127.0.0.1:x"),
        std::string(":"), std::string()}) {
    CAPTURE(address);
    std::promise<bool> answered;
    node.Ask({.name = "node", .address = address}, {},
             std::chrono::milliseconds(3000),
             [&answered](const Result<RelayReply>& reply) {
               answered.set_value(reply.has_value());
             });
    CHECK_FALSE(answered.get_future().get());
  }
}

}  // namespace
}  // namespace flamingogauge
