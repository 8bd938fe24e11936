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

// Blocking client for the operator interface of one host. Errors: kUnavailable
// if nothing was sent or the method is GET, kUnknownOutcome if any other
// request was sent but no response was received.
class OperatorClient {
 public:
  OperatorClient(std::string address, std::string token);

  // `path` must be percent-encoded and may contain a query.
  Result<OperatorResponse> Call(const std::string& method,
                                const std::string& path,
                                const std::string& body = "") const;

  const std::string& address() const { return address_; }

 private:
  const std::string address_;
  const std::string token_;
};

// Percent-encodes a path segment or a query value.
std::string EncodeUrlPart(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_OPERATOR_CLIENT_H_
