#ifndef FLAMINGOGAUGE_LIBS_KERNEL_ERROR_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_ERROR_H_

#include <boost/outcome.hpp>

#include <string>

namespace flamingogauge {

// The class of an error, from which a caller decides what to do next.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kAlreadyExists,
  // A conditional update found another version than the expected one.
  kVersionMismatch,
  // A bounded ring, table or budget has no room.
  kResourceExhausted,
  kUnavailable,
  kTimeout,
  // The change may or may not have taken effect, because its answer was lost.
  kUnknownOutcome,
  // The peer's process ended during the call: the connection broke and nobody
  // listens on its address any more.
  kPeerCrashed,
  kUnauthenticated,
  kCancelled,
  kInternal,
};

// Describes a failure: what kind it is, the step in which it arose, and the
// peer that was involved (empty when none was).
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;
  std::string peer;
  std::string message;
};

// Either a value or an Error. Access to the missing one terminates.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Formats an error as "step (peer): message".
inline std::string ToString(const Error& error) {
  std::string text = error.step;
  if (!error.peer.empty()) {
    text += " (" + error.peer + ")";
  }
  return text + ": " + error.message;
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_ERROR_H_
