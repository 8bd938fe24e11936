#ifndef FLAMINGOGAUGE_LIBS_KERNEL_LOG_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_LOG_H_

#include <string>
#include <string_view>

namespace flamingogauge {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sets up logging to standard error, one line an event, and the lowest level
// that is written. No file is ever opened. Call once from main.
void InitializeLogging(LogLevel lowest_level);

// Writes log lines with the fixed prefix of one part of the program. Safe to
// use from all threads.
class Logger {
 public:
  // `prefix` is the part's name without the colon, for example "peers".
  explicit Logger(std::string_view prefix) : prefix_(prefix) {}

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warning(std::string_view message) const;
  void Error(std::string_view message) const;

 private:
  std::string prefix_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_LOG_H_
