#ifndef FLAMINGOGAUGE_TESTS_AUTO_COMMANDLINE_CAPTURED_RUN_H_
#define FLAMINGOGAUGE_TESTS_AUTO_COMMANDLINE_CAPTURED_RUN_H_

#include <string>
#include <vector>

namespace flamingogauge {

struct CommandOutcome {
  // The exit status.
  int status = 0;
  // What the command printed on the standard streams.
  std::string output;
  std::string errors;
};

// Runs an operator command in this process; `words` follow the program's name.
CommandOutcome RunCaptured(std::vector<std::string> words);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_COMMANDLINE_CAPTURED_RUN_H_
