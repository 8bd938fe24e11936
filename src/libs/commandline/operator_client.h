#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_OPERATOR_CLIENT_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_OPERATOR_CLIENT_H_

#include <chrono>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct OperatorResponse {
  int status = 0;
  std::string body;
};

// Calls the operators' interface of one host and waits for the answer. Errors:
// kUnavailable when nothing was sent, kUnknownOutcome when the answer is
// missing.
class OperatorClient {
 public:
  OperatorClient(std::string address, std::string token);

  // `path` is percent-encoded and may have a query.
  Result<OperatorResponse> Call(const std::string& method,
                                const std::string& path,
                                const std::string& body = "") const;

  const std::string& address() const { return address_; }

 private:
  const std::string address_;
  const std::string token_;
};

// Percent-encodes a segment of a path or a value of a query.
std::string EncodeUrlPart(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_OPERATOR_CLIENT_H_
