#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_CHILD_PROCESS_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace flamingogauge {

// A program started by a test. Its standard output and error are read all the
// time and kept; the destructor kills it.
class ChildProcess {
 public:
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  // Waits for a line that contains the text and returns what follows it in
  // that line, or nothing when the program ended or 20 s passed.
  std::optional<std::string> WaitForOutput(std::string_view text);

  void Signal(int number);

  // Waits for the end; returns the exit status, or -1 minus the signal that
  // ended it. Returns nothing after the time limit.
  std::optional<int> Wait(std::chrono::milliseconds time_limit);

  std::string Output() const;

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
