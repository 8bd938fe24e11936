#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_

#include <string>

namespace flamingogauge {

// Asks the kernel for a free loopback port of the type of socket, SOCK_STREAM
// or SOCK_DGRAM, and returns "ip:port". Another process may take it before it
// is bound.
std::string FreeAddress(int type);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_FREE_ADDRESS_H_
