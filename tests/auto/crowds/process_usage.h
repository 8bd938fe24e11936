#ifndef FLAMINGOGAUGE_TESTS_AUTO_CROWDS_PROCESS_USAGE_H_
#define FLAMINGOGAUGE_TESTS_AUTO_CROWDS_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>

namespace flamingogauge {

// Returns the most memory that a process has had resident since its start, in
// MB (1,048,576 bytes); 0 if the process has ended.
std::size_t PeakMemoryMb(pid_t pid);

// Returns the number of descriptors that a process has open; 0 if it has ended.
std::size_t OpenDescriptors(pid_t pid);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_CROWDS_PROCESS_USAGE_H_
