#include "libs/http_framing/response_completion.h"

namespace flamingogauge {

void ResponseCompletion::OnEndOfInput(bool ends_with_connection) {
  if (ends_with_connection) {
    input_ended_ = true;
  } else {
    Decide(ResponseEnd::kTruncated);
  }
}

ResponseEnd ResponseCompletion::end() const {
  if (decided_ != ResponseEnd::kUndecided || !input_ended_) {
    return decided_;
  }
  switch (write_) {
    case Write::kPending:
      return ResponseEnd::kUndecided;
    case Write::kDone:
      return ResponseEnd::kWhole;
    case Write::kFailed:
      return ResponseEnd::kTruncated;
  }
  return ResponseEnd::kUndecided;
}

void ResponseCompletion::Decide(ResponseEnd decision) {
  if (end() == ResponseEnd::kUndecided) {
    decided_ = decision;
  }
}

}  // namespace flamingogauge
