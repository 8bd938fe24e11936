#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

#include "libs/kernel/error.h"
#include "plugins/gateway/http_session.h"

namespace flamingogauge {

// Accepts connections on one address and runs a session for each.
class HttpAcceptor {
 public:
  HttpAcceptor(boost::asio::io_context& context, HttpRequestHandler& handler);

  Result<void> Listen(const std::string& address);
  // The "ip:port" that is listened on; useful after port 0.
  std::string address() const;
  // Takes no more connections.
  void Stop();
  // Closes the connections on which no request is in progress.
  void CloseIdle();

 private:
  void Accept();
  void ForgetClosed();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  HttpRequestHandler& handler_;
  std::vector<std::weak_ptr<HttpSession>> sessions_;
  std::size_t accepted_since_cleanup_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_
