#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libs/document/document_json.h"

namespace flamingogauge {

// A part of a section, stored under the hash of its text and never changed.
struct Chunk {
  // 32 hexadecimal digits.
  std::string hash;
  // The JSON text of an array with some elements of an array section, or the
  // whole of an object section.
  std::string text;
};

// Well below the store's limit of 1 MB, so that an object's envelope fits too.
inline constexpr std::size_t kMaxChunkBytes = 256U << 10U;

// One edit of a workspace rewrites one bucket, about 1/64 of the section.
inline constexpr std::size_t kWorkspaceBuckets = 64;

std::string HashOfChunk(std::string_view text);

// Divides a section into chunks. The same elements give the same chunks;
// workspaces do so in any order.
std::vector<Chunk> SplitSection(std::string_view section,
                                std::vector<SectionElement> elements);

// Joins the texts of a section's chunks to the section's text.
std::string JoinChunks(std::string_view section,
                       const std::vector<std::string_view>& texts);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_CHUNKS_H_
