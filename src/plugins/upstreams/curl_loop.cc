#include "plugins/upstreams/curl_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>

#include "plugins/upstreams/http_transfer.h"

namespace flamingogauge {
namespace {

constexpr int kMaxEpollEvents = 128;
constexpr std::int64_t kNanosecondsPerSecond = 1000000000;

void InitializeCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

CurlLoop::CurlLoop(std::size_t max_idle_connections) {
  InitializeCurlOnce();
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlLoop::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlLoop::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(max_idle_connections));
  epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_fd_;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
}

CurlLoop::~CurlLoop() {
  Stop();
  curl_multi_cleanup(multi_);
  close(wake_fd_);
  close(epoll_fd_);
}

void CurlLoop::Start(std::function<void()> on_wake) {
  on_wake_ = std::move(on_wake);
  thread_ = std::thread([this] { Run(); });
}

void CurlLoop::Stop() {
  stopping_ = true;
  Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CurlLoop::Wake() {
  if (!wake_pending_.exchange(true)) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(wake_fd_, &one, sizeof(one));
  }
}

CurlLoop::TimerId CurlLoop::Schedule(MonotonicTime time,
                                     std::function<void()> task) {
  const TimerId id(time, next_timer_++);
  timers_.emplace(id, std::move(task));
  return id;
}

void CurlLoop::Unschedule(const TimerId& id) {
  timers_.erase(id);
}

void CurlLoop::Add(HttpTransfer& transfer) {
  curl_multi_add_handle(multi_, transfer.easy());
}

void CurlLoop::Remove(HttpTransfer& transfer) {
  curl_multi_remove_handle(multi_, transfer.easy());
}

int CurlLoop::OnSocket(CURL* /*easy*/,
                       curl_socket_t socket,
                       int what,
                       void* loop,
                       void* socket_data) {
  auto* self = static_cast<CurlLoop*>(loop);
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(self->epoll_fd_, EPOLL_CTL_DEL, socket, nullptr);
    curl_multi_assign(self->multi_, socket, nullptr);
    return 0;
  }
  epoll_event event{};
  event.data.fd = socket;
  if ((what & CURL_POLL_IN) != 0) {
    event.events |= EPOLLIN;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    event.events |= EPOLLOUT;
  }
  const int operation = socket_data == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(self->epoll_fd_, operation, socket, &event);
  // A non-null pointer marks the socket as registered with epoll.
  curl_multi_assign(self->multi_, socket, self);
  return 0;
}

int CurlLoop::OnTimer(CURLM* /*multi*/, long timeout_ms, void* loop) {
  auto* self = static_cast<CurlLoop*>(loop);
  if (timeout_ms < 0) {
    self->curl_deadline_.reset();
  } else {
    self->curl_deadline_ = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

void CurlLoop::Run() {
  while (!stopping_) {
    WaitForEvents();
    RunTimers();
    FinishTransfers();
  }
}

void CurlLoop::WaitForEvents() {
  std::array<epoll_event, kMaxEpollEvents> events{};
  // epoll_pwait2 takes nanoseconds; the millisecond resolution of epoll_wait is
  // too coarse for the required sub-millisecond latency.
  timespec limit{};
  const auto wait = TimeToWait();
  if (wait) {
    limit.tv_sec = wait->count() / kNanosecondsPerSecond;
    limit.tv_nsec = wait->count() % kNanosecondsPerSecond;
  }
  const int n = epoll_pwait2(epoll_fd_, events.data(), kMaxEpollEvents,
                             wait ? &limit : nullptr, nullptr);
  for (int i = 0; i < n; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if (event.data.fd == wake_fd_) {
      std::uint64_t count = 0;
      [[maybe_unused]] const auto size = read(wake_fd_, &count, sizeof(count));
      // Cleared before the commands are read, so that no wake-up is lost.
      wake_pending_ = false;
      on_wake_();
      continue;
    }
    int flags = 0;
    if ((event.events & EPOLLIN) != 0) {
      flags |= CURL_CSELECT_IN;
    }
    if ((event.events & EPOLLOUT) != 0) {
      flags |= CURL_CSELECT_OUT;
    }
    if ((event.events & (EPOLLERR | EPOLLHUP)) != 0) {
      flags |= CURL_CSELECT_ERR;
    }
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, flags, &running);
  }
}

std::optional<std::chrono::nanoseconds> CurlLoop::TimeToWait() const {
  std::optional<MonotonicTime> first = curl_deadline_;
  if (!timers_.empty()) {
    const MonotonicTime timer = timers_.begin()->first.first;
    first = first ? std::min(*first, timer) : timer;
  }
  if (!first) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  constexpr std::chrono::seconds kLongestWait{60};
  return std::clamp<std::chrono::nanoseconds>(
      *first > now ? *first - now : Duration(0), std::chrono::nanoseconds(0),
      kLongestWait);
}

void CurlLoop::RunTimers() {
  const auto now = std::chrono::steady_clock::now();
  if (curl_deadline_ && *curl_deadline_ <= now) {
    curl_deadline_.reset();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
  }
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    task();
  }
}

void CurlLoop::FinishTransfers() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    HttpTransfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    // May destroy the transfer.
    transfer->Finish(code);
  }
}

}  // namespace flamingogauge
