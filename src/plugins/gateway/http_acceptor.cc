#include "plugins/gateway/http_acceptor.h"

#include <boost/asio/error.hpp>

#include <utility>

#include "libs/fleet/endpoint.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 1024;
constexpr std::size_t kAcceptsPerCleanup = 64;
// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

HttpAcceptor::HttpAcceptor(boost::asio::io_context& context,
                           HttpRequestHandler& handler)
    : acceptor_(context), retry_timer_(context), handler_(handler) {}

Result<void> HttpAcceptor::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint<tcp::endpoint>(address);
  error_code ec = boost::asio::error::invalid_argument;
  if (endpoint) {
    acceptor_.open(endpoint->protocol(), ec);
  }
  if (!ec) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor_.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor_.listen(kBacklog, ec);
  }
  if (ec) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "listen",
                 .peer = address,
                 .message = ec.message()};
  }
  Accept();
  return boost::outcome_v2::success();
}

std::string HttpAcceptor::address() const {
  error_code ec;
  const tcp::endpoint endpoint = acceptor_.local_endpoint(ec);
  return ec ? ""
            : endpoint.address().to_string() + ":" +
                  std::to_string(endpoint.port());
}

void HttpAcceptor::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) {
      return;
    }
    if (ec) {
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait([this](const error_code& timer_ec) {
        if (!timer_ec) {
          Accept();
        }
      });
      return;
    }
    auto session = std::make_shared<HttpSession>(std::move(socket), handler_);
    sessions_.push_back(session);
    session->Start();
    if (++accepts_since_cleanup_ >= kAcceptsPerCleanup) {
      RemoveClosedSessions();
    }
    Accept();
  });
}

void HttpAcceptor::Stop() {
  error_code ec;
  retry_timer_.cancel();
  acceptor_.close(ec);
}

void HttpAcceptor::CloseIdle() {
  for (const auto& it : sessions_) {
    if (const auto session = it.lock()) {
      session->CloseIfIdle();
    }
  }
}

SessionCounts HttpAcceptor::Count() const {
  SessionCounts counts;
  for (const auto& it : sessions_) {
    if (const auto session = it.lock()) {
      counts.receiving += session->is_receiving() ? 1 : 0;
      counts.flushing += session->is_flushing() ? 1 : 0;
    }
  }
  return counts;
}

void HttpAcceptor::RemoveClosedSessions() {
  accepts_since_cleanup_ = 0;
  std::erase_if(sessions_, [](const auto& it) { return it.expired(); });
}

}  // namespace flamingogauge
