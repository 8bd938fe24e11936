#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RESPONSE_COMPLETION_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RESPONSE_COMPLETION_H_

namespace flamingogauge {

// What is known of the end of a response.
enum class ResponseEnd {
  // More input, or the outcome of writing the request, has to be awaited.
  kUndecided,
  kWhole,
  kTruncated,
};

// Decides whether a response is whole, from what both halves of its connection
// report.
//
// A response without a length ends with its connection, so that an orderly end
// and a reset must be told apart. The kernel reports a reset once: while the
// request is still being written, the write may receive the error, and the read
// then sees an orderly end of input. Such an end therefore counts only once the
// request has been written without an error.
class ResponseCompletion {
 public:
  void OnRequestWritten() { write_ = Write::kDone; }
  void OnRequestWriteFailed() { write_ = Write::kFailed; }

  // The response's length or last chunk has been received.
  void OnFramingComplete() { Decide(ResponseEnd::kWhole); }
  // Reading has failed.
  void OnReadFailed() { Decide(ResponseEnd::kTruncated); }
  // The end of the input was read. `ends_with_connection` tells whether that is
  // how the framing of the response ends.
  void OnEndOfInput(bool ends_with_connection);

  ResponseEnd end() const;
  bool is_request_written() const { return write_ == Write::kDone; }

 private:
  enum class Write { kPending, kDone, kFailed };

  // The first decision stands.
  void Decide(ResponseEnd decision);

  Write write_ = Write::kPending;
  ResponseEnd decided_ = ResponseEnd::kUndecided;
  bool input_ended_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RESPONSE_COMPLETION_H_
