#include "tests/auto/commandline/captured_run.h"

#include <unistd.h>

#include <cstdio>

#include "libs/commandline/client_command.h"

namespace flamingogauge {
namespace {

// Redirects a standard stream to a temporary file.
class Capture {
 public:
  explicit Capture(FILE* stream) : stream_(stream), file_(std::tmpfile()) {
    std::fflush(stream_);
    saved_ = ::dup(::fileno(stream_));
    ::dup2(::fileno(file_), ::fileno(stream_));
  }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  ~Capture() {
    Finish();
    std::fclose(file_);
  }
  std::string Finish() {
    if (saved_ >= 0) {
      std::fflush(stream_);
      ::dup2(saved_, ::fileno(stream_));
      ::close(saved_);
      saved_ = -1;
    }
    std::rewind(file_);
    std::string text;
    for (int it = std::fgetc(file_); it != EOF; it = std::fgetc(file_)) {
      text += static_cast<char>(it);
    }
    return text;
  }

 private:
  FILE* stream_;
  FILE* file_;
  int saved_ = -1;
};

}  // namespace

CommandOutcome RunCaptured(std::vector<std::string> words) {
  words.insert(words.begin(), "flamingogauge");
  std::vector<char*> argv;
  for (std::string& it : words) {
    argv.push_back(it.data());
  }
  Capture output(stdout);
  Capture errors(stderr);
  const int status =
      RunClientCommand(static_cast<int>(argv.size()), argv.data());
  CommandOutcome outcome{.status = status, .errors = errors.Finish()};
  outcome.output = output.Finish();
  return outcome;
}

}  // namespace flamingogauge
