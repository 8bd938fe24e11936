#include "libs/event_loop/event_loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <future>
#include <utility>

namespace flamingogauge {
namespace {

// Maximum number of tasks run in one loop iteration before network events are
// processed.
constexpr std::size_t kTasksPerTurn = 256;

}  // namespace

EventLoop::EventLoop(std::size_t queue_capacity)
    : tasks_(queue_capacity),
      wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

EventLoop::~EventLoop() {
  Stop();
  close(wake_fd_);
}

void EventLoop::Start(Setup setup) {
  std::promise<void> started;
  std::future<void> is_started = started.get_future();
  thread_ = std::thread(
      [this, setup = std::move(setup), started = std::move(started)]() mutable {
        Run(setup, [&started] { started.set_value(); });
      });
  is_started.wait();
}

void EventLoop::Stop() {
  if (!thread_.joinable()) {
    tasks_.Close();
    return;
  }
  // Closing the ring is the stop request, because a task that requests the stop
  // could be rejected by a full ring.
  tasks_.Close();
  Wake();
  thread_.join();
}

bool EventLoop::Post(Task task) {
  if (!tasks_.TryPush(std::move(task))) {
    return false;
  }
  Wake();
  return true;
}

void EventLoop::Wake() const {
  const std::uint64_t one = 1;
  // The write fails only when the counter is at its maximum, in which case a
  // wake-up is already pending.
  [[maybe_unused]] const ssize_t n = write(wake_fd_, &one, sizeof(one));
}

void EventLoop::Run(const Setup& setup, const std::function<void()>& started) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::Own<kj::AsyncInputStream> wakeups = io.lowLevelProvider->wrapInputFd(
      wake_fd_, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                    kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
  kj::PromiseFulfillerPair<void> stop = kj::newPromiseAndFulfiller<void>();
  stop_ = kj::mv(stop.fulfiller);
  std::shared_ptr<void> object = setup(io);
  started();
  Wake();
  ReadWakeups(*wakeups).exclusiveJoin(kj::mv(stop.promise)).wait(io.waitScope);
  object.reset();
  stop_ = nullptr;
}

kj::Promise<void> EventLoop::ReadWakeups(kj::AsyncInputStream& wakeups) {
  return wakeups
      .tryRead(&wake_buffer_, sizeof(wake_buffer_), sizeof(wake_buffer_))
      .then([this, &wakeups](std::size_t) {
        RunTasks();
        return ReadWakeups(wakeups);
      });
}

void EventLoop::RunTasks() {
  if (tasks_.IsClosed()) {
    stop_->fulfill();
    return;
  }
  for (std::size_t n = 0; n < kTasksPerTurn; ++n) {
    std::optional<Task> task = tasks_.TryPop();
    if (!task) {
      return;
    }
    (*task)();
  }
  Wake();
}

}  // namespace flamingogauge
