#include "plugins/gateway/connect_probe.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

#include "libs/fleet/endpoint.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kTimeLimit{400};

}  // namespace

ConnectProbe::ConnectProbe(boost::asio::io_context& io, Handler handler)
    : socket_(io), timer_(io), handler_(std::move(handler)) {}

void ConnectProbe::Start(const std::string& address) {
  const auto endpoint = ParseEndpoint<tcp::endpoint>(address);
  if (!endpoint) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->Finish(false); });
    return;
  }
  timer_.expires_after(kTimeLimit);
  timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec) {
      self->Finish(false);
    }
  });
  socket_.async_connect(
      *endpoint,
      [self = shared_from_this()](const error_code& ec) { self->Finish(!ec); });
}

void ConnectProbe::Finish(bool accepts) {
  timer_.cancel();
  error_code ec;
  socket_.close(ec);
  if (Handler handler = std::exchange(handler_, nullptr)) {
    handler(accepts);
  }
}

}  // namespace flamingogauge
