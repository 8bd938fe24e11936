#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/commandline/command_context.h"
#include "libs/commandline/table.h"
#include "libs/document/nearest_name.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

// Maximum number of attempts if other edits of the section conflict.
constexpr int kMaxAttempts = 5;
constexpr int kHttpConflict = 409;

// A document and its revision.
struct VersionedDocument {
  std::uint64_t revision = 0;
  Json document;
};

// Reads the newest revision. The second member is the exit status, kDone on
// success.
std::pair<VersionedDocument, int> ReadNewestDocument(
    const CommandContext& context) {
  const auto history = context.client.Call("GET", "/document/history");
  if (!IsSuccess(history)) {
    return {{}, ReportFailure(history)};
  }
  const Json records = Json::parse(history.value().body, nullptr, false);
  if (!records.is_array() || records.empty()) {
    return {{},
            ReportError(kUnreachable,
                        "the host has no document yet; try again in a few "
                        "seconds")};
  }
  VersionedDocument versioned{
      .revision = records[0].value("revision", std::uint64_t{0})};
  const auto text = context.client.Call(
      "GET", "/document?revision=" + std::to_string(versioned.revision));
  if (!IsSuccess(text)) {
    return {{}, ReportFailure(text)};
  }
  versioned.document = Json::parse(text.value().body, nullptr, false);
  return {std::move(versioned), kDone};
}

std::string RetiresAt(const Json& document, const std::string& upstream) {
  for (const Json& it : document.value("retirements", Json::array())) {
    if (it.value("upstream", "") == upstream) {
      return it.value("retires_at", "");
    }
  }
  return "-";
}

int RunList(const CommandContext& context) {
  const auto [versioned, status] = ReadNewestDocument(context);
  if (status != kDone) {
    return status;
  }
  const Json upstreams = versioned.document.value("upstreams", Json::array());
  if (context.json_output) {
    std::puts(upstreams.dump(2).c_str());
    return kDone;
  }
  std::vector<std::vector<std::string>> rows{
      {"UPSTREAM", "KIND", "DATA CENTRE", "ADDRESS", "LEAVING", "RETIRES AT"}};
  for (const Json& it : upstreams) {
    const std::string id = it.value("id", "");
    rows.push_back({id, it.value("kind", ""), it.value("data_centre", ""),
                    it.value("address", ""),
                    it.value("leaving", false) ? "yes" : "no",
                    RetiresAt(versioned.document, id)});
  }
  std::fputs(FormatTable(rows).c_str(), stdout);
  return kDone;
}

// Sets "leaving" of one upstream; returns false if the upstream is not listed.
bool SetLeaving(Json& upstreams, const std::string& id, bool leaving) {
  for (Json& it : upstreams) {
    if (it.value("id", "") == id) {
      it["leaving"] = leaving;
      return true;
    }
  }
  return false;
}

int ReportUnknownUpstream(const Json& upstreams, const std::string& id) {
  std::vector<std::string> names;
  for (const Json& it : upstreams) {
    names.push_back(it.value("id", ""));
  }
  const std::string nearest = NearestName(id, names);
  return ReportError(
      kFailed, "the document has no upstream " + id +
                   (nearest.empty() ? "; see 'flamingogauge upstream list'"
                                    : "; did you mean " + nearest + "?"));
}

int RunLeave(const CommandContext& context) {
  const std::string& id = context.arguments.positional[0];
  const bool leaving = !context.arguments.Has("cancel");
  const char* user = std::getenv("USER");
  const std::string author =
      context.arguments.Get("author", user != nullptr ? user : "operator");
  for (int attempt = 1;; ++attempt) {
    auto [versioned, status] = ReadNewestDocument(context);
    if (status != kDone) {
      return status;
    }
    Json upstreams = versioned.document.value("upstreams", Json::array());
    if (!SetLeaving(upstreams, id, leaving)) {
      return ReportUnknownUpstream(upstreams, id);
    }
    const auto response =
        context.client.Call("POST",
                            "/document/upstreams?expected_revision=" +
                                std::to_string(versioned.revision) +
                                "&author=" + EncodeUrlPart(author),
                            upstreams.dump());
    if (IsSuccess(response)) {
      if (context.json_output) {
        PrintJson(response.value().body);
      } else {
        std::printf("%s %s\n", id.c_str(),
                    leaving ? "is leaving: it receives no new work"
                            : "is no longer leaving");
      }
      return kDone;
    }
    const bool is_conflict =
        response && response.value().status == kHttpConflict;
    if (!is_conflict || attempt == kMaxAttempts) {
      return ReportFailure(response);
    }
  }
}

}  // namespace

std::vector<Command> UpstreamCommands() {
  return {
      {.name = "upstream list",
       .synopsis = "",
       .summary = "lists upstreams with their addresses and retirement times",
       .run = &RunList},
      {.name = "upstream leave",
       .synopsis = "[--cancel] [--author A] UPSTREAM",
       .summary =
           "marks an upstream as leaving so that it receives no new work",
       .options = {{.name = "cancel", .takes_value = false}, {"author"}},
       .min_positional = 1,
       .max_positional = 1,
       .run = &RunLeave},
  };
}

}  // namespace flamingogauge
