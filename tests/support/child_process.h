#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_CHILD_PROCESS_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace flamingogauge {

struct ChildProcessOptions {
  // Variables of the form NAME=VALUE besides those of the test.
  std::vector<std::string> environment;
  // The process's limit on open descriptors; that of the test if 0.
  std::size_t max_descriptors = 0;
};

// A child process started by a test. A thread collects its standard output and
// standard error. The destructor kills the process if it has not been waited
// for.
class ChildProcess {
 public:
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const ChildProcessOptions& options = {});
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  // Waits for a complete line that contains `text` and returns the remainder of
  // the line after it, or nothing if the output ends or 20 s pass without one.
  std::optional<std::string> WaitForOutput(std::string_view text);

  void Signal(int number);

  // Waits until the process terminates. Returns its exit status, or -1 minus
  // the signal number if a signal terminated it, or nothing if the time limit
  // passes.
  std::optional<int> Wait(std::chrono::milliseconds time_limit);

  std::string Output() const;

  pid_t pid() const { return pid_; }

 private:
  void ReadAll();

  pid_t pid_ = -1;
  int read_fd_ = -1;
  std::optional<int> status_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::string output_;
  bool ended_ = false;
  std::thread reader_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_CHILD_PROCESS_H_
