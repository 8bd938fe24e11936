#include "plugins/gateway/datagram_socket.h"

#include <boost/asio/buffer.hpp>

#include <utility>

#include "libs/fleet/endpoint.h"

namespace flamingogauge {

using boost::asio::ip::udp;
using boost::system::error_code;

DatagramSocket::DatagramSocket(boost::asio::io_context& context,
                               Receiver receiver)
    : socket_(context), receiver_(std::move(receiver)) {}

Result<void> DatagramSocket::Open(const std::string& address) {
  const auto endpoint = ParseEndpoint<udp::endpoint>(address);
  error_code ec = boost::asio::error::invalid_argument;
  if (endpoint) {
    socket_.open(endpoint->protocol(), ec);
  }
  if (!ec) {
    socket_.bind(*endpoint, ec);
  }
  if (!ec) {
    socket_.non_blocking(true, ec);
  }
  if (ec) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "open datagram socket",
                 .peer = address,
                 .message = ec.message()};
  }
  Receive();
  return boost::outcome_v2::success();
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buf_), sender_,
      [this](const error_code& ec, std::size_t n) {
        if (ec == boost::asio::error::operation_aborted || !socket_.is_open()) {
          return;
        }
        if (!ec) {
          receiver_(std::string(buf_.data(), n),
                    sender_.address().to_string() + ":" +
                        std::to_string(sender_.port()));
        }
        Receive();
      });
}

void DatagramSocket::Send(const std::string& bytes,
                          const std::string& address) {
  const auto endpoint = ParseEndpoint<udp::endpoint>(address);
  error_code ec = boost::asio::error::invalid_argument;
  if (endpoint) {
    socket_.send_to(boost::asio::buffer(bytes), *endpoint, 0, ec);
  }
  if (ec) {
    ++dropped_datagrams_;
  }
}

void DatagramSocket::Close() {
  error_code ec;
  socket_.close(ec);
}

}  // namespace flamingogauge
