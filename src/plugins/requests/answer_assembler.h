#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Assembles the events of an engine's stream into one whole answer, for callers
// that asked for no stream.
class AnswerAssembler {
 public:
  AnswerAssembler();
  ~AnswerAssembler();

  // Adds one event (a chat.completion.chunk object). The first event that
  // cannot be read makes Finish fail.
  void Add(std::string_view event);

  // The bytes kept so far.
  std::size_t size() const;

  // Returns the answer, a chat.completion object as JSON text.
  Result<std::string> Finish();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_
