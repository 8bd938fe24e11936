#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Assembles the events of an engine's stream into one complete response, for
// callers that did not request streaming.
class AnswerAssembler {
 public:
  AnswerAssembler();
  ~AnswerAssembler();

  // Adds one event (a chat.completion.chunk object). An event that cannot be
  // parsed makes Finish fail with the first such event.
  void Add(std::string_view event);

  // Returns the total size of the events added so far, in bytes.
  std::size_t size() const;

  // Returns the response, a chat.completion object as JSON text.
  Result<std::string> Finish();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_ANSWER_ASSEMBLER_H_
