#include "libs/document/chunks.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

constexpr std::string_view kEmptyArray = "[]";

Chunk MakeChunk(std::string text) {
  std::string hash = HashOfChunk(text);
  return {.hash = std::move(hash), .text = std::move(text)};
}

// Packs the elements in order into as few chunks as possible and appends these
// to `chunks`.
void AppendChunks(const std::vector<SectionElement>& elements,
                  std::vector<Chunk>& chunks) {
  std::string text;
  for (const SectionElement& it : elements) {
    if (!text.empty() && text.size() + it.text.size() + 2 > kMaxChunkBytes) {
      chunks.push_back(MakeChunk(text + "]"));
      text.clear();
    }
    text += text.empty() ? '[' : ',';
    text += it.text;
  }
  if (!text.empty()) {
    chunks.push_back(MakeChunk(text + "]"));
  }
}

}  // namespace

std::string HashOfChunk(std::string_view text) {
  return ToString(ComputeContentHash(text));
}

std::vector<Chunk> SplitSection(std::string_view section,
                                std::vector<SectionElement> elements) {
  std::vector<Chunk> chunks;
  if (!IsArraySection(section)) {
    chunks.push_back(MakeChunk(JoinElements(section, elements)));
    return chunks;
  }
  if (section != "workspaces") {
    AppendChunks(elements, chunks);
    return chunks;
  }
  std::sort(elements.begin(), elements.end(),
            [](const SectionElement& a, const SectionElement& b) {
              return a.key < b.key;
            });
  std::array<std::vector<SectionElement>, kWorkspaceBuckets> buckets;
  for (SectionElement& it : elements) {
    const std::size_t bucket =
        ComputeContentHash(it.key).low % kWorkspaceBuckets;
    buckets[bucket].push_back(std::move(it));
  }
  for (const std::vector<SectionElement>& it : buckets) {
    AppendChunks(it, chunks);
  }
  return chunks;
}

std::string JoinChunks(std::string_view section,
                       const std::vector<std::string_view>& texts) {
  if (!IsArraySection(section)) {
    return texts.empty() ? "{}" : std::string(texts.front());
  }
  std::string text = "[";
  for (const std::string_view it : texts) {
    if (it.size() <= kEmptyArray.size()) {
      continue;
    }
    if (text.size() > 1) {
      text += ',';
    }
    text += it.substr(1, it.size() - 2);
  }
  text += ']';
  return text;
}

}  // namespace flamingogauge
