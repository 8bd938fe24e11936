#include "tests/auto/crowds/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace flamingogauge {
namespace {

std::string ProcessPath(pid_t pid, const std::string& name) {
  return "/proc/" + std::to_string(pid) + "/" + name;
}

}  // namespace

std::size_t PeakMemoryMb(pid_t pid) {
  std::ifstream status(ProcessPath(pid, "status"));
  const std::string text{std::istreambuf_iterator<char>(status), {}};
  const std::string name = "VmHWM:";
  const std::size_t at = text.find(name);
  return at == std::string::npos
             ? 0
             : std::stoul(text.substr(at + name.size())) / 1024;
}

std::size_t OpenDescriptors(pid_t pid) {
  std::error_code ec;
  const std::filesystem::directory_iterator entries(ProcessPath(pid, "fd"), ec);
  return ec ? 0
            : static_cast<std::size_t>(std::distance(
                  begin(entries), std::filesystem::directory_iterator()));
}

}  // namespace flamingogauge
