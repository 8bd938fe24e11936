#include "tests/support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

extern char** environ;

namespace flamingogauge {
namespace {

constexpr std::chrono::seconds kOutputTimeLimit{20};
constexpr std::chrono::milliseconds kPollInterval{5};

// Returns the command that runs a program with a limit on open descriptors, or
// without one if it is 0. A shell sets it, also the hard limit, up to which the
// program could raise its own; the program replaces the shell.
std::vector<std::string> WithDescriptorLimit(
    const std::string& program,
    const std::vector<std::string>& arguments,
    std::size_t limit) {
  std::vector<std::string> command{program};
  if (limit != 0) {
    command = {"/bin/sh", "-c",
               "ulimit -n " + std::to_string(limit) + " && exec \"$0\" \"$@\"",
               program};
  }
  command.insert(command.end(), arguments.begin(), arguments.end());
  return command;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const ChildProcessOptions& options) {
  std::array<int, 2> pipe{};
  if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  read_fd_ = pipe[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDERR_FILENO);
  const std::vector<std::string> command =
      WithDescriptorLimit(program, arguments, options.max_descriptors);
  std::vector<char*> argv;
  for (const std::string& it : command) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  std::vector<char*> variables;
  for (const std::string& it : options.environment) {
    variables.push_back(const_cast<char*>(it.c_str()));
  }
  for (char** it = environ; *it != nullptr; ++it) {
    variables.push_back(*it);
  }
  variables.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, command.front().c_str(), &actions,
                                  nullptr, argv.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe[1]);
  if (error != 0) {
    ::close(read_fd_);
    throw std::runtime_error("cannot start " + program);
  }
  reader_ = std::thread([this] { ReadAll(); });
}

ChildProcess::~ChildProcess() {
  if (!status_) {
    Signal(SIGKILL);
    Wait(kOutputTimeLimit);
  }
  reader_.join();
  ::close(read_fd_);
}

void ChildProcess::ReadAll() {
  std::array<char, 4096> buf{};
  while (true) {
    const ssize_t n = ::read(read_fd_, buf.data(), buf.size());
    std::lock_guard<std::mutex> lock(mutex_);
    if (n <= 0) {
      ended_ = true;
      changed_.notify_all();
      return;
    }
    output_.append(buf.data(), static_cast<std::size_t>(n));
    changed_.notify_all();
  }
}

std::optional<std::string> ChildProcess::WaitForOutput(std::string_view text) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::optional<std::string> found;
  changed_.wait_for(lock, kOutputTimeLimit, [this, text, &found] {
    const std::size_t begin = output_.find(text);
    const std::size_t end =
        begin == std::string::npos ? begin : output_.find('\n', begin);
    if (end != std::string::npos) {
      const std::size_t rest = begin + text.size();
      found = output_.substr(rest, end - rest);
    }
    return found.has_value() || ended_;
  });
  return found;
}

void ChildProcess::Signal(int number) {
  if (!status_) {
    ::kill(pid_, number);
  }
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds time_limit) {
  const auto deadline = std::chrono::steady_clock::now() + time_limit;
  while (!status_) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1 - WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() > deadline) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return status_;
}

std::string ChildProcess::Output() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return output_;
}

}  // namespace flamingogauge
