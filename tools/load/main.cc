#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "tools/load/load_options.h"
#include "tools/load/load_report.h"
#include "tools/load/load_runner.h"
#include "tools/load/load_svg.h"

namespace {

constexpr int kOk = 0;
constexpr int kIncorrect = 1;
constexpr int kUsageError = 2;
constexpr int kNoAnswer = 3;
constexpr int kCannotWrite = 4;

constexpr const char* kUsage =
    "usage: flamingogauge-load --targets=ip:port,... [flags]\n"
    "\n"
    "Sends a workload to entry hosts in an open loop: requests start at their\n"
    "planned times, however slow the answers are. Latencies count from the\n"
    "planned time.\n"
    "\n"
    "  --targets=ip:port,...    entry hosts, asked in turn\n"
    "  --direct=ip:port,...     engines that get every second chat request\n"
    "                           directly, as the baseline of the same run\n"
    "  --count_engines, --count_services\n"
    "                           fakes whose execution counts are read at the\n"
    "                           end to find duplicates\n"
    "  --workload=NAME          uniform, stumpfwerk or jernpleje\n"
    "  --rate=N --duration_s=N  requests a second, and for how long\n"
    "  --max_requests=N --max_open=N --time_limit_ms=N\n"
    "                           bounds in count and time\n"
    "  --seed=N                 seed of the workload, printed with the result\n"
    "  --model=NAME --service=NAME\n"
    "  --keys=K0,K1,...         bearer keys of tier 0, 1, ...; the last one "
    "is\n"
    "                           used for all further tiers\n"
    "  --tier_names=N0,N1,...   asks for these tiers by name\n"
    "  --prompt_tokens=N --output_tokens=N\n"
    "                           lengths of the workload uniform\n"
    "  --noverify               accept answers of engines other than the fake\n"
    "  --allow_remote           allow addresses outside 127.0.0.0/8\n"
    "  --output=table|json --plot=FILE.svg\n"
    "\n"
    "exit status: 0 all answers were whole or refused; 1 an answer was wrong\n"
    "or short, or something was executed twice; 2 a flag is not valid; 3 no\n"
    "request got an answer; 4 the plot could not be written\n";

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-help" || argument == "-h";
}

bool HasAnyResponse(const flamingogauge::LoadReportData& data) {
  for (const auto& it : data.rows) {
    if (it.whole + it.refused + it.wrong + it.truncated > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (IsHelp(argv[i])) {
      std::fputs(kUsage, stdout);
      return kOk;
    }
  }
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  const auto options = flamingogauge::LoadOptionsFromFlags();
  if (!options) {
    std::fprintf(stderr, "load: %s\n", ToString(options.error()).c_str());
    return kUsageError;
  }
  flamingogauge::LoadRunner runner(options.value());
  const flamingogauge::LoadSummary summary = runner.Run();
  const auto classes = flamingogauge::Workload(options.value()).classes();
  const auto data = flamingogauge::MakeReport(summary, classes);
  if (options.value().output == "json") {
    std::fputs(FormatJson(summary, data).c_str(), stdout);
  } else {
    std::printf("seed: %llu\n",
                static_cast<unsigned long long>(options.value().seed));
    std::fputs(FormatTable(summary, data).c_str(), stdout);
  }
  if (!options.value().plot.empty()) {
    std::ofstream file(options.value().plot);
    file << DrawSvg(summary, classes);
    if (!file.flush()) {
      std::fprintf(stderr, "load: cannot write %s\n",
                   options.value().plot.c_str());
      return kCannotWrite;
    }
  }
  if (!HasAnyResponse(data)) {
    return kNoAnswer;
  }
  return IsCorrect(summary, data) ? kOk : kIncorrect;
}
