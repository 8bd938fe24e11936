#include <doctest/doctest.h>

#include <string>

#include "libs/document/manifest.h"
#include "libs/document/revision_rules.h"

namespace flamingogauge {
namespace {

Manifest Next(const Manifest* current,
              const std::string& section,
              const std::string& edit_id) {
  return NextManifest(current, "hash", {{section, {"chunk-" + edit_id}}},
                      {.edit_id = edit_id,
                       .author = "team-" + section,
                       .section = section,
                       .time = std::chrono::seconds(1)});
}

// Guards against sections, history or edit ids that are lost in the next
// manifest or by serialization.
TEST_CASE("Manifests keep sections and history and can be read back") {
  Manifest manifest = Next(nullptr, "tiers", "e1");
  for (int it = 2; it <= 60; ++it) {
    manifest = Next(&manifest, "policy", "e" + std::to_string(it));
  }
  const auto read = ReadManifest(WriteManifest(manifest));
  REQUIRE(read.has_value());
  CHECK(WriteManifest(*read) == WriteManifest(manifest));
  CHECK(read->revision == 60);
  CHECK(read->sections.at("tiers").changed_in == 1);
  CHECK(read->history.size() == kMaxHistory);
  CHECK(FindEdit(*read, "e60") == 60);
  CHECK(FindEdit(*read, "e11") == 11);
  CHECK_FALSE(FindEdit(*read, "e10").has_value());
  CHECK(read->history[0].manifest_hash.empty());
  CHECK(read->history[1].manifest_hash == "hash");
  for (const char* it : {"", "{}", "[]", R"({"revision":0})"}) {
    CHECK_FALSE(ReadManifest(it).has_value());
  }
}

// Guards against edits that overwrite another author's edit of the same
// section, and against rejected edits of different sections.
TEST_CASE("Conflicts concern one section and name both revisions") {
  const Manifest first = Next(nullptr, "tiers", "e1");
  const Manifest second = Next(&first, "upstreams", "e2");
  CHECK(FindConflict(second, "tiers", 1).empty());
  CHECK(FindConflict(second, "models", 1).empty());
  CHECK(FindConflict(second, "upstreams", 2).empty());
  const std::string conflict = FindConflict(second, "upstreams", 1);
  CHECK(conflict.find("revision 2 by team-upstreams") != std::string::npos);
  CHECK(conflict.find("after revision 1") != std::string::npos);
  CHECK_FALSE(FindConflict(second, "tiers", 3).empty());
}

// Guards against adopting an older or diverged manifest from the store.
TEST_CASE("Manifests are compared by revision and by their histories") {
  const Manifest first = Next(nullptr, "tiers", "e1");
  const Manifest second = Next(&first, "tiers", "e2");
  const Manifest fork = Next(&first, "tiers", "f2");
  const Manifest fork_next = Next(&fork, "tiers", "f3");
  CHECK(Compare(first, second) == ManifestRelation::kNewer);
  CHECK(Compare(second, second) == ManifestRelation::kSame);
  CHECK(Compare(second, first) == ManifestRelation::kOlder);
  CHECK(Compare(second, fork) == ManifestRelation::kDiverged);
  CHECK(Compare(second, fork_next) == ManifestRelation::kDiverged);
}

}  // namespace
}  // namespace flamingogauge
