#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_HEAD_SCANNER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_HEAD_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace flamingogauge {

// Counts the bytes of a request's head, up to and including the empty line.
// Pistache does not report how many bytes it consumed, and drops the bytes of a
// further request in the same packet; the count allows detecting that case.
class HttpHeadScanner {
 public:
  void Feed(std::string_view bytes);
  void Reset() { *this = HttpHeadScanner(); }

  bool head_complete() const { return matched_ == 4; }
  std::size_t head_bytes() const { return head_bytes_; }
  std::size_t received_bytes() const { return received_bytes_; }

 private:
  // Number of bytes of "\r\n\r\n" that the most recent bytes match.
  int matched_ = 0;
  std::size_t head_bytes_ = 0;
  std::size_t received_bytes_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_HEAD_SCANNER_H_
