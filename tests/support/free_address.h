#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_

#include <string>

namespace flamingogauge {

// Returns a loopback address "ip:port" that is free for sockets of `type`,
// SOCK_STREAM or SOCK_DGRAM. The port is not reserved: another process may bind
// it first.
std::string FreeAddress(int type);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_
