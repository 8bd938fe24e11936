#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_CONNECT_PROBE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_CONNECT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingogauge {

// Finds out whether a process accepts connections at an address. The connection
// is closed at once.
class ConnectProbe : public std::enable_shared_from_this<ConnectProbe> {
 public:
  using Handler = std::function<void(bool accepts)>;

  ConnectProbe(boost::asio::io_context& io, Handler handler);
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

  // Calls the handler once, not from within this function.
  void Start(const std::string& address);

 private:
  void Finish(bool accepts);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Handler handler_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_CONNECT_PROBE_H_
