#include <doctest/doctest.h>

#include <string>

#include "libs/http_framing/http_request_reader.h"

namespace flamingogauge {
namespace {

// Feeds `text` in pieces of `piece` bytes, as reads from a connection would.
std::size_t FeedInPieces(HttpRequestReader& reader,
                         const std::string& text,
                         std::size_t piece) {
  std::string pending;
  std::size_t used = 0;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    pending += text.substr(at, piece);
    const std::size_t n = reader.Feed(pending);
    pending.erase(0, n);
    used += n;
  }
  return used;
}

// Guards against request smuggling: a message that two parsers could frame
// differently must be rejected, however it is split across reads.
TEST_CASE("ambiguous requests are refused") {
  struct Row {
    std::string name;
    std::string text;
    int status;
  };
  const std::string start = "POST /a/b HTTP/1.1\r\nHost: h\r\n";
  for (const Row& row : {
           Row{"two lengths",
               start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
               400},
           Row{"two equal lengths",
               start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
               400},
           Row{"signed length", start + "Content-Length: +3\r\n\r\nabc", 400},
           Row{"list of lengths", start + "Content-Length: 3, 3\r\n\r\nabc",
               400},
           Row{"length and chunks",
               start + "Content-Length: 3\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n0\r\n\r\n",
               400},
           Row{"chunks and length",
               start + "Transfer-Encoding: chunked\r\nContent-Length: "
                       "3\r\n\r\n0\r\n\r\n",
               400},
           Row{"unknown coding",
               start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
           Row{"two codings",
               start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
               400},
           Row{"coding named twice",
               start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                       "identity\r\n\r\n0\r\n\r\n",
               400},
           Row{"space before the colon",
               start + "Content-Length : 3\r\n\r\nabc", 400},
           Row{"bare line feeds", "POST /a HTTP/1.1\nHost: h\n\n", 400},
           Row{"chunk size with a sign",
               start + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n",
               400},
           Row{"no host", "GET /a HTTP/1.1\r\nA: b\r\n\r\n", 400},
           Row{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
               400},
           Row{"large head",
               "GET /a HTTP/1.1\r\nHost: h\r\nA: " + std::string(700, 'x') +
                   "\r\n\r\n",
               431},
           Row{"large body", start + "Content-Length: 300\r\n\r\n", 413},
       }) {
    for (const std::size_t piece : {std::size_t{1}, row.text.size()}) {
      CAPTURE(row.name);
      CAPTURE(piece);
      HttpRequestReader reader(
          {.max_header_bytes = 512, .max_body_bytes = 256});
      FeedInPieces(reader, row.text, piece);
      CHECK(reader.refusal_status() == row.status);
      CHECK_FALSE(reader.complete());
    }
  }
}

// Guards against rejecting or altering valid requests.
TEST_CASE("valid requests are read unchanged") {
  struct Row {
    std::string name;
    std::string text;
    const char* method;
    const char* target;
    const char* body;
    bool keep_alive;
  };
  for (const Row& row : {
           Row{"length",
               "POST /a/b?x=1&x=2&&%41 HTTP/1.1\r\nHost: h\r\n"
               "Content-Length: 3\r\n\r\nabc",
               "POST", "/a/b?x=1&x=2&&%41", "abc", true},
           Row{"chunks with an extension and a trailer",
               "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n",
               "PUT", "/a", "abcde", true},
           Row{"unknown method", "BREW /pot HTTP/1.1\r\nHost: h\r\n\r\n",
               "BREW", "/pot", "", true},
           Row{"closing",
               "GET /a HTTP/1.1\r\nHost: h\r\nConnection: "
               "close\r\n\r\n",
               "GET", "/a", "", false},
           Row{"old version", "GET /a HTTP/1.0\r\n\r\n", "GET", "/a", "",
               false},
       }) {
    for (const std::size_t piece : {std::size_t{1}, row.text.size()}) {
      CAPTURE(row.name);
      CAPTURE(piece);
      HttpRequestReader reader({});
      CHECK(FeedInPieces(reader, row.text, piece) == row.text.size());
      REQUIRE(reader.complete());
      const ParsedRequest request = reader.Take();
      CHECK(request.method == row.method);
      CHECK(request.target == row.target);
      CHECK(request.body == row.body);
      CHECK(request.keep_alive == row.keep_alive);
    }
  }
}

// Guards against a reader that consumes bytes of the next, pipelined request.
TEST_CASE("bytes after a request are not consumed") {
  const std::string first =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  HttpRequestReader reader({});
  CHECK(reader.Feed(first + "GET /b HTTP/1.1\r\n") == first.size());
  CHECK(reader.complete());
}

// Guards against memory that is occupied beyond the bytes and not accounted.
TEST_CASE("a request accounts the memory it occupies") {
  constexpr std::size_t kReserved = 100000;
  ParsedRequest request;
  request.body.reserve(kReserved);
  request.target.reserve(kReserved);
  CHECK(request.HeldBytes() >= 2 * kReserved);
}

// Guards against forwarding hop-by-hop fields or dropping end-to-end fields.
TEST_CASE("hop-by-hop fields are removed, also those that Connection names") {
  HttpFields fields;
  fields.Add("Connection", "keep-alive, X-Private");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("x-private", "1");
  fields.Add("X-Public", "2");
  fields.Add("Transfer-Encoding", "chunked");
  fields.RemoveHopByHop();
  REQUIRE(fields.all().size() == 1);
  CHECK(fields.all()[0].name == "X-Public");
}

}  // namespace
}  // namespace flamingogauge
