#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace flamingogauge {

// Reports which sockets are writable again after their buffer was full.
// Thread-safe, except that only one thread may call Wait.
class WritePoller {
 public:
  WritePoller();
  WritePoller(const WritePoller&) = delete;
  WritePoller& operator=(const WritePoller&) = delete;
  ~WritePoller();

  // Returns false if the process was out of file descriptors.
  bool IsOpen() const;

  // Reports `id` once, when the socket becomes writable.
  void Arm(int fd, std::uint64_t id);
  // Removes a socket; must be called before it is closed.
  void Remove(int fd);

  // Returns the ids of writable sockets; none after the time limit or a Wake.
  std::vector<std::uint64_t> Wait(std::chrono::milliseconds time_limit);
  void Wake();

 private:
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_WRITE_POLLER_H_
