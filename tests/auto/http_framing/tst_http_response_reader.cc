#include <doctest/doctest.h>

#include <string>

#include "libs/http_framing/http_response_reader.h"

namespace flamingogauge {
namespace {

// Guards against accepting a truncated response as complete, and against
// rejecting complete ones: with an unset body limit, the parser rejects every
// response that has a Content-Length.
TEST_CASE("responses are complete only with their whole body") {
  struct Row {
    std::string name;
    std::string text;
    bool ends;
    bool complete;
    bool failed;
    const char* body;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const Row& row : {
           Row{"length", ok + "Content-Length: 3\r\n\r\nabc", false, true,
               false, "abc"},
           Row{"short", ok + "Content-Length: 3\r\n\r\nab", true, false, true,
               "ab"},
           Row{"chunks",
               ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
               false, true, false, "ab"},
           Row{"no last chunk",
               ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true,
               false, true, "ab"},
           Row{"until close", ok + "\r\nab", true, true, false, "ab"},
           Row{"until close, still open", ok + "\r\nab", false, false, false,
               "ab"},
           Row{"no answer", "\x01\x02rubbish\r\n\r\n", false, false, true, ""},
           Row{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab",
               false, false, true, ""},
           Row{"status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nab",
               false, false, true, ""},
           Row{"status 600", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nab",
               false, false, true, ""},
           Row{"status 599", "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nab",
               false, true, false, "ab"},
           Row{"odd coding", ok + "Transfer-Encoding: gzip\r\n\r\nab", false,
               false, true, ""},
       }) {
    CAPTURE(row.name);
    HttpResponseReader reader(false);
    std::string body;
    reader.Feed(row.text, body);
    if (row.ends) {
      reader.FinishAtEndOfFile();
    }
    CHECK(reader.complete() == row.complete);
    CHECK(reader.failed() == row.failed);
    CHECK(body == row.body);
  }
}

// Guards against waiting for the body of a response that has none.
TEST_CASE("a response to HEAD has no body") {
  HttpResponseReader reader(true);
  std::string body;
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n", body);
  CHECK(reader.complete());
  CHECK(reader.content_length() == 800);
  CHECK_FALSE(reader.has_body());
}

// Guards against reusing a connection that the peer closes.
TEST_CASE("keep_alive follows the response") {
  struct Row {
    const char* text;
    bool keep_alive;
  };
  for (const Row& row :
       {Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
        Row{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            false}}) {
    CAPTURE(row.text);
    HttpResponseReader reader(false);
    std::string body;
    reader.Feed(row.text, body);
    CHECK(reader.complete());
    CHECK(reader.keep_alive() == row.keep_alive);
  }
}

}  // namespace
}  // namespace flamingogauge
