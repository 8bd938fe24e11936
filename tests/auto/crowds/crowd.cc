#include "tests/auto/crowds/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "tests/support/small_buffers.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The host counts as idle after this time without progress.
constexpr milliseconds kQuietTime{1000};
constexpr milliseconds kPressTimeLimit{30000};
constexpr milliseconds kRoundInterval{5};

}  // namespace

Crowd::Crowd(CrowdOptions options) : options_(std::move(options)) {
  for (int it = 0; it < options_.connections; ++it) {
    clients_.push_back({.returns = options_.returns});
    Connect(clients_.back());
  }
}

Crowd::~Crowd() {
  for (const Client& it : clients_) {
    if (it.fd >= 0) {
      ::close(it.fd);
    }
  }
}

// A connection that the kernel has not established yet takes no bytes; sending
// is tried again in the next round.
void Crowd::Connect(Client& client) const {
  const std::size_t colon = options_.address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoul(options_.address.substr(colon + 1))));
  inet_pton(AF_INET, options_.address.substr(0, colon).c_str(),
            &target.sin_addr);
  client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  client.sent = 0;
  UseSmallBuffers(client.fd);
  if (::connect(client.fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0 &&
      errno != EINPROGRESS) {
    ::close(std::exchange(client.fd, -1));
  }
}

std::size_t Crowd::Send(Client& client) const {
  const std::size_t size = options_.request.size();
  const std::size_t total = size * static_cast<std::size_t>(options_.repeats);
  std::size_t sent = 0;
  while (client.fd >= 0 && client.sent < total) {
    const std::size_t begin = client.sent % size;
    const ssize_t n = ::send(client.fd, options_.request.data() + begin,
                             size - begin, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
      return sent;
    }
    if (n < 0) {
      ::close(std::exchange(client.fd, -1));
      if (client.returns > 0) {
        --client.returns;
        Connect(client);
      }
      return sent;
    }
    client.sent += static_cast<std::size_t>(n);
    sent += static_cast<std::size_t>(n);
  }
  return sent;
}

std::size_t Crowd::SendAll() {
  std::size_t sent = 0;
  for (Client& it : clients_) {
    sent += Send(it);
  }
  return sent;
}

void Crowd::Press(const std::function<std::size_t()>& progress,
                  const std::function<bool()>& has_failed) {
  const auto give_up = steady_clock::now() + kPressTimeLimit;
  auto quiet_since = steady_clock::now();
  std::size_t last = progress();
  while (!has_failed() && steady_clock::now() < give_up &&
         steady_clock::now() - quiet_since < kQuietTime) {
    const std::size_t sent = SendAll();
    const std::size_t now = progress();
    if (sent > 0 || now != std::exchange(last, now)) {
      quiet_since = steady_clock::now();
    }
    std::this_thread::sleep_for(kRoundInterval);
  }
}

}  // namespace flamingogauge
