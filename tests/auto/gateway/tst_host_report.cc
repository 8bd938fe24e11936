#include <doctest/doctest.h>

#include <string>

#include "plugins/gateway/host_report.h"

namespace flamingogauge {
namespace {

// Guards against hosts misinterpreting each other's load or usage.
TEST_CASE("an encoded report decodes to the same values") {
  const HostReport report{
      .host = "h1",
      .draining = true,
      .running = {{11, 3}, {12, 65535}},
      .process = 77,
      .usage = {{"acme", {.spent = 1e9, .credits = -5}}},
      .crashes = {{.request = 1, .upstream = 2}},
      .sequence = 9,
      .report_address = "10.0.0.1:2",
      .data_centre = "d1",
      .forwarded = {
          {.host = "h2", .running = {{13, 4}}, .process = 78, .sequence = 5}}};
  const Result<HostReport> read = DecodeHostReport(EncodeHostReport(report));
  REQUIRE(read);
  CHECK(read.value().host == report.host);
  CHECK(read.value().draining);
  CHECK(read.value().running == report.running);
  CHECK(read.value().process == report.process);
  CHECK(read.value().usage.at("acme").spent == 1e9);
  CHECK(read.value().usage.at("acme").credits == -5);
  CHECK(read.value().crashes == report.crashes);
  CHECK(read.value().sequence == 9);
  CHECK(read.value().report_address == "10.0.0.1:2");
  CHECK(read.value().data_centre == "d1");
  REQUIRE(read.value().forwarded.size() == 1);
  CHECK(read.value().forwarded[0].host == "h2");
  CHECK(read.value().forwarded[0].running == report.forwarded[0].running);
  CHECK(read.value().forwarded[0].process == 78);
  CHECK(read.value().forwarded[0].sequence == 5);
}

// Guards against a foreign or truncated datagram crashing the process.
TEST_CASE("invalid datagrams are rejected") {
  const std::string whole = EncodeHostReport({.host = "h1"});
  for (const std::string& bytes :
       {std::string(), std::string("hello"), std::string(300, '\xff'),
        whole.substr(0, whole.size() / 2)}) {
    CHECK_FALSE(DecodeHostReport(bytes));
  }
}

}  // namespace
}  // namespace flamingogauge
