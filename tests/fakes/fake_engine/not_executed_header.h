#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_NOT_EXECUTED_HEADER_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_NOT_EXECUTED_HEADER_H_

#include <pistache/http_header.h>

#include <ostream>

namespace flamingogauge {

// Marks a response to a request that was rejected before execution. This is a
// typed header, because Pistache does not write raw headers in responses.
class NotExecutedHeader : public Pistache::Http::Header::Header {
 public:
  NAME("X-Not-Executed")

  void write(std::ostream& stream) const override { stream << "1"; }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_NOT_EXECUTED_HEADER_H_
