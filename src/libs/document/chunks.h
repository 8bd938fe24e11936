#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libs/document/document_json.h"

namespace flamingogauge {

// Immutable part of a section, stored under the hash of its text.
struct Chunk {
  // 32 hexadecimal digits.
  std::string hash;
  // JSON text: an array with some elements of an array section, or a complete
  // object section.
  std::string text;
};

// Well below the store's limit of 1 MB, to leave room for the envelope in which
// an object is stored.
inline constexpr std::size_t kMaxChunkBytes = 256U << 10U;

// Workspaces are distributed over buckets by the hash of their id, so that an
// edit of one workspace rewrites only one bucket, about 1/64 of the section.
inline constexpr std::size_t kWorkspaceBuckets = 64;

std::string HashOfChunk(std::string_view text);

// Splits a section into chunks. Equal elements produce equal chunks; for the
// section "workspaces", this does not depend on the order of the elements.
std::vector<Chunk> SplitSection(std::string_view section,
                                std::vector<SectionElement> elements);

// Joins the texts of all chunks of a section into the text of the section.
std::string JoinChunks(std::string_view section,
                       const std::vector<std::string_view>& texts);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_
