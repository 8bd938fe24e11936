#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_SMALL_BUFFERS_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_SMALL_BUFFERS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace flamingogauge {

// Limits what the kernel takes over for a peer that does not read: as on a
// network, and not on the loopback interface, segments and windows are small.
// To be called before connect() or listen().
inline void UseSmallBuffers(int fd) {
  constexpr int kBufferBytes = 8192;
  constexpr int kSegmentBytes = 1460;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(int));
  ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(int));
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_SMALL_BUFFERS_H_
