#ifndef FLAMINGOGAUGE_LIBS_KERNEL_EVENT_LOG_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_EVENT_LOG_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace flamingogauge {

// One line of the structured log: a JSON object with the name of the event
// first. Field names are listed in docs/OPERATIONS.md.
class EventLine {
 public:
  explicit EventLine(std::string_view event);

  EventLine& Text(std::string_view name, std::string_view value);
  EventLine& Number(std::string_view name, std::int64_t value);
  // Written in whole milliseconds; the field's name ends in "_ms".
  EventLine& Milliseconds(std::string_view name,
                          std::chrono::nanoseconds value);

  // Closes the object; call once.
  std::string Take();

 private:
  std::string text_;
};

struct EventLogOptions {
  // Bytes that wait to be written; further lines are dropped and counted.
  std::size_t max_buffered_bytes = 256U << 10U;
  // Lines above this rate are dropped and counted.
  std::size_t max_lines_per_second = 400;
  // The descriptor that lines are written to; standard output by default.
  int output = 1;
  // How long a line may wait before it is written.
  std::chrono::milliseconds flush_interval{200};
};

// Writes structured lines to standard output on a thread of its own. Write
// never blocks on the output. Safe from any thread.
class EventLog {
 public:
  explicit EventLog(EventLogOptions options);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  // Writes what is buffered.
  ~EventLog();

  void Write(EventLine line);
  // Changes the bounds on what is written.
  void SetBounds(std::size_t max_lines_per_second,
                 std::size_t max_buffered_bytes);
  std::uint64_t dropped_lines() const;

 private:
  void Run();

  EventLogOptions options_;
  mutable std::mutex mutex_;
  // Notified when there is something to write, and to stop.
  std::condition_variable changed_;
  std::string buffer_;
  std::size_t lines_in_second_ = 0;
  std::chrono::steady_clock::time_point second_began_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_EVENT_LOG_H_
