#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "libs/document/chunks.h"
#include "tests/auto/document/sample_document.h"

namespace flamingogauge {
namespace {

constexpr int kTargetWorkspaces = 31000;

std::vector<Chunk> ChunksOf(const std::string& workspaces) {
  const ReadOutcome outcome = ReadDocument(
      R"({"tiers": [{"name": "a"}, {"name": "b"}], "workspaces":)" +
      workspaces + "}");
  REQUIRE(outcome.faults.empty());
  return SplitSection("workspaces",
                      WriteElements(outcome.document, "workspaces"));
}

// Guards against chunks above the store's limit of 1 MB and against an edit of
// one workspace that rewrites the whole section at the target number of
// workspaces.
TEST_CASE(
    "31,000 workspaces fit in small chunks, of which an edit changes one") {
  const std::vector<Chunk> before = ChunksOf(ManyWorkspaces(kTargetWorkspaces));
  const std::vector<Chunk> after =
      ChunksOf(ManyWorkspaces(kTargetWorkspaces, 777));
  CHECK(before.size() == kWorkspaceBuckets);
  std::set<std::string> hashes;
  std::size_t bytes = 0;
  for (const Chunk& it : before) {
    CHECK(it.text.size() <= kMaxChunkBytes);
    bytes += it.text.size();
    hashes.insert(it.hash);
  }
  MESSAGE("workspaces: " << kTargetWorkspaces << ", chunks: " << before.size()
                         << ", bytes: " << bytes);
  CHECK(std::count_if(after.begin(), after.end(), [&](const Chunk& it) {
          return !hashes.contains(it.hash);
        }) == 1);
}

// Guards against elements that are lost at chunk boundaries and against chunks
// that depend on the order of the workspaces in the document.
TEST_CASE("Chunks join to the section they were split from") {
  for (const int count : {0, 1, 65, 5000}) {
    CAPTURE(count);
    std::vector<SectionElement> elements;
    for (int it = 0; it < count; ++it) {
      elements.push_back({.key = "k" + std::to_string(it),
                          .text = R"({"id":"k)" + std::to_string(it) +
                                  std::string(200, 'x') + R"("})"});
    }
    for (const char* section : {"upstreams", "workspaces"}) {
      const std::vector<Chunk> chunks = SplitSection(section, elements);
      std::vector<std::string_view> texts;
      for (const Chunk& it : chunks) {
        CHECK(it.text.size() <= kMaxChunkBytes);
        CHECK(HashOfChunk(it.text) == it.hash);
        texts.emplace_back(it.text);
      }
      const std::string joined = JoinChunks(section, texts);
      CHECK(std::count(joined.begin(), joined.end(), '{') == count);
      if (std::string_view(section) == "upstreams") {
        CHECK(joined == JoinElements(section, elements));
      }
    }
    std::vector<SectionElement> reversed(elements.rbegin(), elements.rend());
    const auto a = SplitSection("workspaces", elements);
    const auto b = SplitSection("workspaces", reversed);
    CHECK(std::equal(
        a.begin(), a.end(), b.begin(), b.end(),
        [](const Chunk& x, const Chunk& y) { return x.hash == y.hash; }));
  }
}

}  // namespace
}  // namespace flamingogauge
