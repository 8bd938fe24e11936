#ifndef FLAMINGOGAUGE_LIBS_KERNEL_CHECK_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_CHECK_H_

#include <functional>
#include <string>
#include <string_view>

namespace flamingogauge {

// A violated invariant of the product, as reported to the violation handler.
struct InvariantViolation {
  // The identifier of the invariant in docs/design.md, for example "I1".
  std::string_view invariant;
  std::string_view condition;
  // The step and the ids of the objects involved.
  std::string detail;
  const char* file = nullptr;
  int line = 0;
};

using InvariantViolationHandler =
    std::function<void(const InvariantViolation&)>;

// Replaces the handler, which by default prints the violation on standard
// error and aborts. Tests of the checks themselves install their own. Returns
// the previous handler.
InvariantViolationHandler SetInvariantViolationHandler(
    InvariantViolationHandler handler);

// Calls the current handler.
void ReportInvariantViolation(const InvariantViolation& violation);

}  // namespace flamingogauge

// Checks an invariant in every build. `detail` is an expression of type
// std::string that names the step, the peer and the ids; it is evaluated only
// on a violation.
#define CHECK_INVARIANT(invariant_id, condition_expression, detail_expression) \
  do {                                                                         \
    if (!(condition_expression)) {                                             \
      ::flamingogauge::ReportInvariantViolation(                               \
          {.invariant = (invariant_id),                                        \
           .condition = #condition_expression,                                 \
           .detail = (detail_expression),                                      \
           .file = __FILE__,                                                   \
           .line = __LINE__});                                                 \
    }                                                                          \
  } while (false)

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_CHECK_H_
