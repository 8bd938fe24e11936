#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/entry_decoder.h"
#include "platform/manifest_decoder.h"

namespace flamingogauge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const char kManifest[] = R"({"version":7,
  "routes":[
    {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"streaming",
     "timeoutMs":12000,"targetLatencyMs":500,"priority":1,"service":"s1",
     "maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,
     "gapAimMs":300},
    {"name":"r2","host":"h.example","pathPrefix":"/b/",
     "kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":250,
     "priority":2,"trafficSplit":[{"service":"s1","weight":90},
     {"service":"s2","weight":10}],"maxAttempts":1,"anonymous":true},
    {"name":"strange","host":"h.example","pathPrefix":"/c/","kind":"other",
     "service":"s1"}],
  "services":[{"name":"s1","maxConnections":370,
               "engine":{"slots":8,"kvCapacityTokens":588415}},
              {"name":"s2","maxConnections":110}],
  "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,
            "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,
              "unit":"token_stream","plainTokens":200,"ratePerS":191297,
              "burst":191298},{"name":"t2","apiKeys":["k3"]}]})";

// Guards against manifest fields that are decoded into the wrong member.
TEST_CASE("a manifest is decoded into the routing table") {
  const auto table = DecodeManifest(json::parse(kManifest));
  REQUIRE(table);
  CHECK(table->version == 7);
  CHECK(table->route_count() == 2);
  const Route* stream = table->FindRoute("h.example", "/a/x");
  REQUIRE(stream != nullptr);
  CHECK(stream->execution_semantics == ExecutionSemantics::kStream);
  CHECK(stream->timeout == milliseconds(12000));
  CHECK(stream->target_latency == milliseconds(500));
  CHECK(stream->max_event_gap == milliseconds(300));
  CHECK(stream->priority == 1);
  CHECK(stream->max_dispatches == 2);
  CHECK(stream->resumable);
  CHECK_FALSE(stream->anonymous);
  REQUIRE(stream->services.size() == 1);
  CHECK(stream->services[0].service == "s1");
  const Route* split = table->FindRoute("h.example", "/b/x");
  REQUIRE(split != nullptr);
  CHECK(split->execution_semantics == ExecutionSemantics::kAtMostOnce);
  CHECK(split->anonymous);
  REQUIRE(split->services.size() == 2);
  CHECK(split->services[0].weight == 90);
  CHECK(split->services[1].service == "s2");
  CHECK(table->services.at("s1").engine_slots == 8);
  CHECK(table->services.at("s1").engine_memory_tokens == 588415);
  CHECK(table->services.at("s2").max_connections == 110);
  CHECK(table->limits.max_header_bytes == 1000);
  CHECK(table->limits.max_body_bytes == 2000);
  CHECK(table->limits.header_timeout == milliseconds(3000));
  CHECK(table->limits.idle_timeout == milliseconds(15000));
  const WorkspaceEntry* workspace = table->FindKey("k2");
  REQUIRE(workspace != nullptr);
  CHECK(workspace->name == "t1");
  CHECK(workspace->priority == 1);
  CHECK(workspace->counts_tokens);
  CHECK(workspace->plain_tokens == 200);
  CHECK(workspace->rate_per_second == 191297);
  CHECK(workspace->burst == 191298);
  CHECK(table->FindKey("k3")->rate_per_second == 0);
  CHECK_FALSE(table->FindKey("k3")->priority);
}

// Guards against a malformed manifest replacing a valid one.
TEST_CASE("a malformed manifest decodes to null") {
  for (const char* text :
       {"null", "7", "[]", "{}", R"({"version":1})",
        R"({"version":"1","routes":[]})", R"({"version":1,"routes":{}})"}) {
    CAPTURE(std::string(text));
    CHECK(DecodeManifest(json::parse(text)) == nullptr);
  }
}

// Guards against entries of other writers being decoded as upstreams.
TEST_CASE("only complete entries decode to an upstream") {
  const json complete = json::parse(
      R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":8,"state":"draining","coldRemainingMs":40,"sequence":4,
          "born":1773820127049})");
  const auto upstream = DecodeUpstream("i-1", complete);
  REQUIRE(upstream);
  CHECK(upstream->id == "i-1");
  CHECK(upstream->service == "s1");
  CHECK(upstream->address == "10.0.0.9:80");
  CHECK(upstream->data_centre == "z");
  CHECK(upstream->version == "v1");
  CHECK(upstream->slots == 8);
  CHECK(upstream->draining);
  CHECK(upstream->cold_remaining == milliseconds(40));
  CHECK(upstream->started_at_ms == 1773820127049);
  struct Row {
    std::string field;
    json value;
  };
  for (const Row& row :
       {Row{"service", 5}, Row{"address", nullptr}, Row{"state", "other"},
        Row{"state", 1}, Row{"slots", "8"}, Row{"slots", 0},
        Row{"slots", 1e300}, Row{"slots", 4294967297}, Row{"address", "x:80"},
        Row{"address", "10.0.0.9"}, Row{"address", "10.0.0.9:65536"},
        Row{"address", "10.0.0.9:0"}}) {
    CAPTURE(row.field);
    json changed = complete;
    changed[row.field] = row.value;
    CHECK(DecodeUpstream("i-1", changed) == nullptr);
  }
  CHECK(DecodeUpstream("i-1", json("text")) == nullptr);
}

// Guards against an encoding of host entries that other hosts cannot decode.
TEST_CASE("a host entry survives encoding and decoding") {
  const HostEntry host{
      .name = "h1", .report_address = "10.0.0.1:7600", .data_centre = "z"};
  const auto decoded = DecodeHost("h1", EncodeHost(host));
  REQUIRE(decoded);
  CHECK(*decoded == host);
  CHECK(DecodeHost("h1", json::object()) == nullptr);
}

}  // namespace
}  // namespace flamingogauge
