#include <cstdio>
#include <nlohmann/json.hpp>

#include "libs/commandline/command_context.h"
#include "libs/commandline/table.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

int RunStatus(const CommandContext& context) {
  const auto response = context.client.Call("GET", "/status");
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  const json status = json::parse(response.value().body, nullptr, false);
  if (context.json_output || !status.is_object()) {
    PrintJson(response.value().body);
    return kDone;
  }
  std::printf("host %s in %s, %s, document revision %llu\n",
              status.value("host", "").c_str(),
              status.value("data_centre", "").c_str(),
              status.value("ready", false) ? "ready" : "not ready",
              static_cast<unsigned long long>(
                  status.value("document_revision", std::uint64_t{0})));
  std::vector<std::vector<std::string>> rows{
      {"HOST", "DATA CENTRE", "STATE", "REVISION"}};
  for (const json& it : status.value("members", json::array())) {
    rows.push_back(
        {it.value("host", ""), it.value("data_centre", ""),
         it.value("state", ""),
         std::to_string(it.value("document_revision", std::uint64_t{0}))});
  }
  std::fputs(FormatTable(rows).c_str(), stdout);
  return kDone;
}

int RunDump(const CommandContext& context) {
  const auto response = context.client.Call("GET", "/debug/state");
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  PrintJson(response.value().body);
  return kDone;
}

int RunDrain(const CommandContext& context) {
  const auto response = context.client.Call("POST", "/drain");
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  if (context.json_output) {
    PrintJson(response.value().body);
  } else {
    std::printf(
        "%s is draining: it accepts no new requests and exits when none are "
        "in flight\n",
        context.client.address().c_str());
  }
  return kDone;
}

int RunQuarantineList(const CommandContext& context) {
  const auto response = context.client.Call("GET", "/quarantine");
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  if (context.json_output) {
    PrintJson(response.value().body);
    return kDone;
  }
  std::vector<std::vector<std::string>> rows{{"FINGERPRINT", "TIME LEFT"}};
  const json list = json::parse(response.value().body, nullptr, false);
  for (const json& it : list) {
    const std::int64_t milliseconds = it.value("time_left_ms", std::int64_t{0});
    rows.push_back({it.value("fingerprint", ""),
                    std::to_string(milliseconds / 1000) + " s"});
  }
  std::fputs(FormatTable(rows).c_str(), stdout);
  return kDone;
}

int RunQuarantineRelease(const CommandContext& context) {
  const std::string& fingerprint = context.arguments.positional[0];
  const auto response = context.client.Call(
      "DELETE", "/quarantine/" + EncodeUrlPart(fingerprint));
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  if (context.json_output) {
    PrintJson(response.value().body);
  } else {
    std::printf("released %s from quarantine\n", fingerprint.c_str());
  }
  return kDone;
}

}  // namespace

std::vector<Command> HostCommands() {
  return {
      {.name = "status",
       .synopsis = "",
       .summary = "shows a host, its members and their document revisions",
       .run = &RunStatus},
      {.name = "dump",
       .synopsis = "",
       .summary = "prints the internal state of a host as JSON",
       .run = &RunDump},
      {.name = "drain",
       .synopsis = "",
       .summary = "stops a host gracefully",
       .run = &RunDrain},
      {.name = "quarantine list",
       .synopsis = "",
       .summary = "lists requests refused because they crashed upstreams",
       .run = &RunQuarantineList},
      {.name = "quarantine release",
       .synopsis = "FINGERPRINT",
       .summary = "releases a request from quarantine on all hosts",
       .min_positional = 1,
       .max_positional = 1,
       .run = &RunQuarantineRelease},
  };
}

}  // namespace flamingogauge
