#include "plugins/gateway/http_acceptor.h"

#include <boost/asio/error.hpp>

#include <utility>

#include "libs/fleet/endpoint.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 1024;
// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

HttpAcceptor::HttpAcceptor(boost::asio::io_context& context,
                           HttpRequestHandler& handler,
                           SessionPoolOptions options)
    : acceptor_(context),
      retry_timer_(context),
      handler_(handler),
      pool_(std::make_shared<SessionPool>(std::move(options))) {}

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
    Start(std::move(socket));
    Accept();
  });
}

void HttpAcceptor::Start(tcp::socket socket) {
  if (pool_->MakeRoom()) {
    std::make_shared<HttpSession>(std::move(socket), handler_, pool_)->Start();
  }
}

void HttpAcceptor::Stop() {
  error_code ec;
  retry_timer_.cancel();
  acceptor_.close(ec);
}

void HttpAcceptor::CloseIdle() {
  for (const auto& it : pool_->sessions()) {
    it->CloseIfIdle();
  }
}

void HttpAcceptor::AbortUnsent() {
  for (const auto& it : pool_->sessions()) {
    if (it->has_unsent()) {
      it->AbortWithReset();
    }
  }
}

SessionCounts HttpAcceptor::Count() const {
  SessionCounts counts;
  for (const auto& it : pool_->sessions()) {
    counts.receiving += it->is_receiving() ? 1 : 0;
    counts.flushing += it->is_flushing() ? 1 : 0;
  }
  return counts;
}

}  // namespace flamingogauge
