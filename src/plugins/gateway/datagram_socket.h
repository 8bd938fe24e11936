#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_DATAGRAM_SOCKET_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_DATAGRAM_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Exchanges datagrams with other hosts over UDP.
class DatagramSocket {
 public:
  // `sender` is "ip:port".
  using Receiver =
      std::function<void(const std::string& bytes, const std::string& sender)>;

  DatagramSocket(boost::asio::io_context& context, Receiver receiver);

  Result<void> Open(const std::string& address);
  // Sends one datagram. A datagram that cannot be sent immediately is dropped,
  // because a later one makes up for it.
  void Send(const std::string& bytes, const std::string& address);
  void Close();

  std::uint64_t dropped_datagrams() const { return dropped_datagrams_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  void Receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  Receiver receiver_;
  std::array<char, kMaxDatagramBytes> buf_{};
  std::uint64_t dropped_datagrams_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_DATAGRAM_SOCKET_H_
