#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/rollouts/trusted_versions.h"

namespace flamingogauge {
namespace {

UpstreamEntry Upstream(const std::string& service,
                       const std::string& version,
                       std::int64_t started_at_ms) {
  return {.id = service + version + std::to_string(started_at_ms),
          .service = service,
          .version = version,
          .started_at_ms = started_at_ms};
}

// Guards against hosts that disagree on which of two versions is the old one
// when they start while both are listed.
TEST_CASE("the version of the first upstream is trusted") {
  struct Row {
    std::vector<UpstreamEntry> upstreams;
    std::set<std::string> trusted;
  };
  const std::vector<Row> rows = {
      {{}, {}},
      {{Upstream("s", "v1", 5)}, {"v1"}},
      {{Upstream("s", "v2", 9), Upstream("s", "v1", 5)}, {"v1"}},
      {{Upstream("s", "v1", 9), Upstream("s", "v2", 5)}, {"v2"}},
      {{Upstream("s", "v2", 5), Upstream("s", "v1", 5)}, {"v1"}},
      {{Upstream("s", "", 5), Upstream("s", "v1", 6)}, {""}},
      {{Upstream("t", "v9", 1), Upstream("s", "v1", 5)}, {"v1"}}};
  for (const Row& it : rows) {
    CAPTURE(it.upstreams.size());
    TrustedVersions versions;
    versions.SetUpstreams(it.upstreams);
    CHECK(versions.Of("s") == it.trusted);
  }
}

// Guards against a version that becomes trusted because old upstreams restart.
TEST_CASE("a version that is trusted stays so") {
  TrustedVersions versions;
  versions.SetUpstreams({Upstream("s", "v1", 5)});
  versions.SetUpstreams({Upstream("s", "v1", 20), Upstream("s", "v2", 10)});
  CHECK(versions.Of("s") == std::set<std::string>{"v1"});
  versions.Replace("s", {"v2"});
  versions.SetUpstreams({Upstream("s", "v1", 20), Upstream("s", "v2", 10)});
  CHECK(versions.Of("s") == std::set<std::string>{"v2"});
}

}  // namespace
}  // namespace flamingogauge
