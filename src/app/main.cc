#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "libs/kernel/log.h"

namespace {

constexpr int kUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("schedules requests across model engines");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  flamingogauge::InitializeLogging(flamingogauge::LogLevel::kInfo);
  if (argc == 2 && std::string(argv[1]) == "version") {
    std::puts("flamingogauge 0.1.0");
    return 0;
  }
  std::fputs("flamingogauge: unknown command; try: flamingogauge version\n",
             stderr);
  return kUsageError;
}
