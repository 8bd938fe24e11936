#include "libs/http_server/write_poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>

namespace flamingogauge {
namespace {

// Identifies the eventfd of Wake; no connection has this id.
constexpr std::uint64_t kWakeId = ~std::uint64_t{0};

}  // namespace

WritePoller::WritePoller()
    : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
}

WritePoller::~WritePoller() {
  ::close(wake_fd_);
  ::close(epoll_fd_);
}

bool WritePoller::IsOpen() const {
  return epoll_fd_ >= 0 && wake_fd_ >= 0;
}

void WritePoller::Arm(int fd, std::uint64_t id) {
  epoll_event event{};
  event.events = EPOLLOUT | EPOLLONESHOT;
  event.data.u64 = id;
  if (::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) != 0) {
    ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  }
}

void WritePoller::Remove(int fd) {
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

std::vector<std::uint64_t> WritePoller::Wait(
    std::chrono::milliseconds time_limit) {
  std::array<epoll_event, 64> events{};
  const int n =
      ::epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()),
                   static_cast<int>(time_limit.count()));
  std::vector<std::uint64_t> ids;
  for (int it = 0; it < n; ++it) {
    if (events[it].data.u64 == kWakeId) {
      std::uint64_t count = 0;
      [[maybe_unused]] const ssize_t read =
          ::read(wake_fd_, &count, sizeof(count));
    } else {
      ids.push_back(events[it].data.u64);
    }
  }
  return ids;
}

void WritePoller::Wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_fd_, &one, sizeof(one));
}

}  // namespace flamingogauge
