#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace flamingogauge {

// Tells which sockets can take bytes again after they were full. Safe from any
// thread; Wait is for one thread.
class WritePoller {
 public:
  WritePoller();
  WritePoller(const WritePoller&) = delete;
  WritePoller& operator=(const WritePoller&) = delete;
  ~WritePoller();

  // False when the process has no descriptors left.
  bool IsOpen() const;

  // Reports `id` once, when the socket takes bytes.
  void Arm(int fd, std::uint64_t id);
  // Forgets a socket before it is closed.
  void Remove(int fd);

  // Returns the ids of sockets that take bytes, none after the time limit or
  // a Wake.
  std::vector<std::uint64_t> Wait(std::chrono::milliseconds time_limit);
  void Wake();

 private:
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_
