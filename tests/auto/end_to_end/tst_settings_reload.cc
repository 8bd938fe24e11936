#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "tests/support/child_process.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExitTimeLimit{20000};

// A flag file that the test rewrites and the destructor removes.
class SettingsFile {
 public:
  SettingsFile()
      : path_(std::filesystem::temp_directory_path() /
              ("flamingogauge-reload-" + std::to_string(::getpid()))),
        addresses_("--host_report_address=" + FreeAddress(SOCK_DGRAM) +
                   "\n--gateway_listen_address=" + FreeAddress(SOCK_STREAM) +
                   "\n--gateway_status_address=" + FreeAddress(SOCK_STREAM) +
                   "\n--fleet_store_address=" + FreeAddress(SOCK_STREAM) +
                   "\n") {}
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;
  ~SettingsFile() { ::unlink(path_.c_str()); }

  void Write(const std::string& lines) const {
    // Renamed into place, so that the host never reads a partial file.
    const std::string next = path_ + ".next";
    std::ofstream(next) << addresses_ << lines;
    ::rename(next.c_str(), path_.c_str());
  }
  void Remove() const { ::unlink(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
  const std::string addresses_;
};

struct ReloadCase {
  const char* lines;
  bool signal;
  const char* expected;
};

// Guards against changed settings that take effect only after a restart, a
// process that terminates on SIGHUP, and an invalid file that replaces valid
// settings.
TEST_CASE("settings are reloaded on SIGHUP and when their file changes") {
  const SettingsFile file;
  const std::string start = "--host_name=h1\n--gateway_stop_limit_s=1\n";
  file.Write(start);
  ChildProcess host(FLAMINGOGAUGE_BINARY,
                    {"serve", "--flagfile=" + file.path()});
  REQUIRE(host.WaitForOutput("process.started"));
  const ReloadCase cases[] = {
      {"--gateway_resend_ratio=0.3\n", true,
       R"("SIGHUP","result":"done","changed":"gateway_resend_ratio",)"
       R"("need_restart":"")"},
      // The ratio is no longer in the file and is reset to its default.
      {"--key_revocation_limit_ms=4000\n", false,
       R"("the file changed","result":"done",)"
       R"("changed":"gateway_resend_ratio,key_revocation_limit_ms",)"},
      {"--key_revocation_limit_ms=4000\n--fleet_store_address=127.0.0.1:9\n",
       true, R"("need_restart":"fleet_store_address")"},
      // The result names the invalid flag; the log line also lists it as
      // changed.
      {"--key_revocation_limit_ms=1\n", true,
       R"("result":"gateway: check settings: --key_revocation_limit_ms is 1,)"},
  };
  for (const ReloadCase& it : cases) {
    CAPTURE(it.lines);
    file.Write(start + it.lines);
    if (it.signal) {
      host.Signal(SIGHUP);
    }
    CHECK_MESSAGE(host.WaitForOutput(it.expected), host.Output());
  }
  host.Signal(SIGTERM);
  const std::optional<int> status = host.Wait(kExitTimeLimit);
  REQUIRE(status);
  CHECK(*status == 0);
}

// Guards against a process that ends when its settings file is missing for a
// while.
TEST_CASE("settings stay in force while their file is missing") {
  const SettingsFile file;
  const std::string start = "--host_name=h1\n--gateway_stop_limit_s=1\n";
  for (const bool signal : {true, false}) {
    CAPTURE(signal);
    file.Write(start);
    ChildProcess host(FLAMINGOGAUGE_BINARY,
                      {"serve", "--flagfile=" + file.path()});
    REQUIRE(host.WaitForOutput("process.started"));
    file.Remove();
    if (signal) {
      host.Signal(SIGHUP);
    }
    CHECK(host.WaitForOutput("the file cannot be read"));
    file.Write(start + "--gateway_resend_ratio=0.3\n");
    CHECK(host.WaitForOutput(
        R"("result":"done","changed":"gateway_resend_ratio")"));
    host.Signal(SIGTERM);
    CHECK(host.Wait(kExitTimeLimit) == 0);
  }
}

// Guards against a change of the settings that ends a gateway while it drains,
// long before its stop limit, and so cuts its requests off.
TEST_CASE("a draining gateway ignores SIGHUP, changed settings and SIGTERM") {
  const SettingsFile file;
  const std::string start =
      "--host_name=h1\n--gateway_stop_limit_s=2\n"
      "--gateway_drain_min_time_ms=1000\n";
  file.Write(start);
  ChildProcess host(FLAMINGOGAUGE_BINARY,
                    {"serve", "--flagfile=" + file.path()});
  REQUIRE(host.WaitForOutput("process.started"));
  host.Signal(SIGTERM);
  REQUIRE(host.WaitForOutput("gateway.draining"));
  file.Write(start + "--gateway_resend_ratio=0.3\n");
  host.Signal(SIGHUP);
  CHECK(host.WaitForOutput(R"("request":"reload","reason":"the process)"));
  host.Signal(SIGTERM);
  CHECK(host.WaitForOutput(R"("request":"stop","reason":"the process)"));
  CHECK(host.Wait(kExitTimeLimit) == 0);
}

}  // namespace
}  // namespace flamingogauge
