#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "libs/commandline/command_context.h"
#include "libs/commandline/table.h"
#include "libs/document/document_json.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{200};
constexpr std::chrono::seconds kWaitTimeLimit{30};

std::string RevisionQuery(const CommandContext& context) {
  const auto revision = context.arguments.GetNumber("revision");
  return revision ? "?revision=" + std::to_string(*revision) : "";
}

bool HasInvalidNumber(const CommandContext& context, const char* name) {
  return context.arguments.Has(name) && !context.arguments.GetNumber(name);
}

int RunGet(const CommandContext& context) {
  if (HasInvalidNumber(context, "revision")) {
    return ReportError(kUsage, "--revision must be a non-negative integer");
  }
  const auto response =
      context.client.Call("GET", "/document" + RevisionQuery(context));
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  const std::string section = context.arguments.Get("section");
  if (section.empty()) {
    PrintJson(response.value().body);
    return kDone;
  }
  const auto document =
      nlohmann::ordered_json::parse(response.value().body, nullptr, false);
  if (!document.is_object() || !document.contains(section)) {
    return ReportError(kFailed,
                       "the document has no section " + section +
                           "; see docs/OPERATIONS.md for the section names");
  }
  std::puts(document[section].dump(2).c_str());
  return kDone;
}

int RunCheck(const CommandContext& context) {
  const std::string& path = context.arguments.positional[0];
  const Result<std::string> text = ReadInput(path);
  if (!text) {
    return ReportError(kUsage, ToString(text.error()));
  }
  const ReadOutcome outcome = ReadDocument(text.value());
  if (!outcome.faults.empty()) {
    return ReportFaults(outcome.faults);
  }
  const Document& document = outcome.document;
  if (context.json_output) {
    std::puts(R"({"valid":true})");
  } else {
    std::printf(
        "%s is valid: %zu tiers, %zu workspaces, %zu models, %zu upstreams, "
        "%zu services, %zu data centres\n",
        path.c_str(), document.tiers.size(), document.workspaces.size(),
        document.models.size(), document.upstreams.size(),
        document.services.size(), document.data_centres.size());
  }
  return kDone;
}

// A difference between two documents in one element of a section.
struct Difference {
  std::string section;
  std::string element;
  std::string change;
};

std::vector<Difference> Compare(const Document& before, const Document& after) {
  std::vector<Difference> differences;
  for (const std::string_view section : kSectionNames) {
    std::map<std::string, std::string> old_texts;
    for (SectionElement& it : WriteElements(before, section)) {
      old_texts[it.key] = std::move(it.text);
    }
    for (const SectionElement& it : WriteElements(after, section)) {
      const auto old_text = old_texts.find(it.key);
      if (old_text == old_texts.end()) {
        differences.push_back({std::string(section), it.key, "added"});
        continue;
      }
      if (old_text->second != it.text) {
        differences.push_back({std::string(section), it.key,
                               old_text->second + " -> " + it.text});
      }
      old_texts.erase(old_text);
    }
    for (const auto& [key, text] : old_texts) {
      differences.push_back({std::string(section), key, "removed"});
    }
  }
  return differences;
}

int RunDiff(const CommandContext& context) {
  if (HasInvalidNumber(context, "revision")) {
    return ReportError(kUsage, "--revision must be a non-negative integer");
  }
  const Result<std::string> text = ReadInput(context.arguments.positional[0]);
  if (!text) {
    return ReportError(kUsage, ToString(text.error()));
  }
  const ReadOutcome after = ReadDocument(text.value());
  if (!after.faults.empty()) {
    return ReportFaults(after.faults);
  }
  const auto response =
      context.client.Call("GET", "/document" + RevisionQuery(context));
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  const ReadOutcome before = ReadDocument(response.value().body);
  if (!before.faults.empty()) {
    return ReportError(kFailed,
                       "the host's document is not valid for this version "
                       "of the program; use the version that the host runs");
  }
  const auto differences = Compare(before.document, after.document);
  if (context.json_output) {
    json list = json::array();
    for (const Difference& it : differences) {
      list.push_back({{"section", it.section},
                      {"element", it.element},
                      {"change", it.change}});
    }
    std::puts(list.dump(2).c_str());
  } else if (!differences.empty()) {
    std::vector<std::vector<std::string>> rows{
        {"SECTION", "ELEMENT", "CHANGE"}};
    for (const Difference& it : differences) {
      rows.push_back({it.section, it.element, it.change});
    }
    std::fputs(FormatTable(rows).c_str(), stdout);
  }
  return differences.empty() ? kDone : kDifferent;
}

// Returns true if the host and all members that it considers alive have
// applied `revision` or a later one.
bool IsAppliedEverywhere(const json& status, std::uint64_t revision) {
  if (status.value("document_revision", std::uint64_t{0}) < revision) {
    return false;
  }
  for (const json& it : status.value("members", json::array())) {
    if (it.value("state", "") == "alive" &&
        it.value("document_revision", std::uint64_t{0}) < revision) {
      return false;
    }
  }
  return true;
}

int WaitUntilApplied(const CommandContext& context, std::uint64_t revision) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeLimit;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto response = context.client.Call("GET", "/status");
    if (IsSuccess(response)) {
      const json status = json::parse(response.value().body, nullptr, false);
      if (status.is_object() && IsAppliedEverywhere(status, revision)) {
        return kDone;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return ReportError(kFailed,
                     "revision " + std::to_string(revision) +
                         " was accepted, but is not yet applied on all hosts; "
                         "see 'flamingogauge status'");
}

int RunApply(const CommandContext& context) {
  const std::string section = context.arguments.Get("section");
  const auto expected = context.arguments.GetNumber("expected_revision");
  if (section.empty() || !expected) {
    return ReportError(
        kUsage,
        "document apply requires --section S and --expected-revision N, the "
        "revision that the edit is based on; see 'flamingogauge document "
        "history'");
  }
  const Result<std::string> text = ReadInput(context.arguments.positional[0]);
  if (!text) {
    return ReportError(kUsage, ToString(text.error()));
  }
  const char* user = std::getenv("USER");
  const std::string author =
      context.arguments.Get("author", user != nullptr ? user : "operator");
  const auto response = context.client.Call(
      "POST",
      "/document/" + EncodeUrlPart(section) + "?expected_revision=" +
          std::to_string(*expected) + "&author=" + EncodeUrlPart(author),
      text.value());
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  const json answer = json::parse(response.value().body, nullptr, false);
  const std::uint64_t revision =
      answer.is_object() ? answer.value("revision", std::uint64_t{0}) : 0;
  if (context.json_output) {
    std::printf("{\"revision\":%llu}\n",
                static_cast<unsigned long long>(revision));
  } else {
    std::printf("accepted as revision %llu\n",
                static_cast<unsigned long long>(revision));
  }
  return context.arguments.Has("wait") ? WaitUntilApplied(context, revision)
                                       : static_cast<int>(kDone);
}

int RunHistory(const CommandContext& context) {
  const auto response = context.client.Call("GET", "/document/history");
  if (!IsSuccess(response)) {
    return ReportFailure(response);
  }
  if (context.json_output) {
    PrintJson(response.value().body);
    return kDone;
  }
  std::vector<std::vector<std::string>> rows{
      {"REVISION", "TIME", "SECTION", "AUTHOR"}};
  const json history = json::parse(response.value().body, nullptr, false);
  for (const json& it : history) {
    const std::string section = it.value("section", "");
    rows.push_back({std::to_string(it.value("revision", std::uint64_t{0})),
                    it.value("time", ""), section.empty() ? "(all)" : section,
                    it.value("author", "")});
  }
  std::fputs(FormatTable(rows).c_str(), stdout);
  return kDone;
}

}  // namespace

std::vector<Command> DocumentCommands() {
  return {
      {.name = "document get",
       .synopsis = "[--revision N] [--section S]",
       .summary = "prints the current document or an earlier revision",
       .options = {{"revision"}, {"section"}},
       .run = &RunGet},
      {.name = "document check",
       .synopsis = "FILE",
       .summary = "validates a whole document offline and reports every fault",
       .min_positional = 1,
       .max_positional = 1,
       .run = &RunCheck},
      {.name = "document diff",
       .synopsis = "[--revision N] FILE",
       .summary =
           "compares a whole document with the current or an earlier one",
       .options = {{"revision"}},
       .min_positional = 1,
       .max_positional = 1,
       .run = &RunDiff},
      {.name = "document apply",
       .synopsis = "--section S --expected-revision N [--author A] [--wait] "
                   "FILE",
       .summary = "replaces one section with the JSON in FILE",
       .options = {{"section"},
                   {"expected_revision"},
                   {"author"},
                   {.name = "wait", .takes_value = false}},
       .min_positional = 1,
       .max_positional = 1,
       .run = &RunApply},
      {.name = "document history",
       .synopsis = "",
       .summary = "lists the newest revisions and their authors",
       .run = &RunHistory},
  };
}

}  // namespace flamingogauge
