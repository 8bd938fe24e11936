#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

#include "libs/kernel/error.h"
#include "plugins/gateway/http_session.h"
#include "plugins/gateway/session_pool.h"

namespace flamingogauge {

// Sessions with something left to finish, besides requests that have been
// passed to the handler.
struct SessionCounts {
  std::size_t receiving = 0;
  std::size_t flushing = 0;
};

// Accepts connections on one address and starts a session for each.
class HttpAcceptor {
 public:
  HttpAcceptor(boost::asio::io_context& context,
               HttpRequestHandler& handler,
               SessionPoolOptions options = {});

  Result<void> Listen(const std::string& address);
  // The "ip:port" listened on; gives the actual port if port 0 was requested.
  std::string address() const;
  // Stops accepting connections.
  void Stop();
  // Closes the connections that have no request in progress.
  void CloseIdle();
  // Resets the connections with an unsent part of a response, which must not
  // look complete.
  void AbortUnsent();
  SessionCounts Count() const;
  SessionPool& pool() { return *pool_; }

 private:
  void Accept();
  void Start(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  HttpRequestHandler& handler_;
  // Shared with the sessions, which may outlive the acceptor.
  const std::shared_ptr<SessionPool> pool_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_ACCEPTOR_H_
