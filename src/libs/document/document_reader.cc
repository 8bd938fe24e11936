#include <nlohmann/json.hpp>
#include <utility>

#include "libs/document/document_json.h"
#include "libs/document/document_references.h"
#include "libs/document/nearest_name.h"
#include "libs/document/object_reader.h"
#include "libs/document/parse_text.h"
#include "libs/document/text_rules.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint64_t kHourMs = 3'600'000;
constexpr std::uint64_t kDayMs = 24 * kHourMs;
constexpr std::size_t kMaxWorkspaces = 100'000;
constexpr std::size_t kMaxUpstreams = 20'000;
constexpr std::size_t kMaxNamedElements = 1'000;
constexpr std::size_t kMaxKeysPerWorkspace = 16;
constexpr std::size_t kMaxTargets = 64;

TierSpec ReadTier(ObjectReader& reader) {
  TierSpec tier;
  reader.Text("name", tier.name, TextKind::kName, Presence::kRequired);
  reader.Time("first_token_target_ms", tier.first_token_target, 1, kHourMs);
  reader.Time("deadline_ms", tier.deadline, 1, kDayMs);
  return tier;
}

WorkspaceSpec ReadWorkspace(ObjectReader& reader) {
  WorkspaceSpec workspace;
  reader.Text("id", workspace.id, TextKind::kName, Presence::kRequired);
  reader.Texts("key_hashes", workspace.key_hashes, TextKind::kKeyHash, 0,
               kMaxKeysPerWorkspace);
  reader.Integer("default_tier", workspace.default_tier, 0, kMaxTiers - 1);
  reader.Integer("highest_tier", workspace.highest_tier, 0, kMaxTiers - 1);
  reader.Number("weight", workspace.weight, 0.001, 1000);
  reader.Object("limits", [&workspace](ObjectReader& limits) {
    limits.Number("requests_per_second", workspace.limits.requests_per_second,
                  0, 1e6);
    limits.Number("tokens_per_second", workspace.limits.tokens_per_second, 0,
                  1e9);
    limits.Integer("concurrency", workspace.limits.concurrency, 0, 1'000'000,
                   "requests");
  });
  return workspace;
}

ModelSpec ReadModel(ObjectReader& reader) {
  ModelSpec model;
  reader.Text("id", model.id, TextKind::kName, Presence::kRequired);
  reader.Integer("max_context_tokens", model.max_context_tokens, 1, 10'000'000,
                 "tokens");
  reader.Integer("default_max_output_tokens", model.default_max_output_tokens,
                 1, 1'000'000, "tokens");
  return model;
}

UpstreamSpec ReadUpstream(ObjectReader& reader) {
  UpstreamSpec upstream;
  reader.Text("id", upstream.id, TextKind::kName, Presence::kRequired);
  std::string kind = "engine";
  reader.Choice("kind", kind, {"engine", "service"});
  upstream.kind =
      kind == "service" ? UpstreamKind::kService : UpstreamKind::kEngine;
  reader.Texts("targets", upstream.targets, TextKind::kName, 1, kMaxTargets);
  reader.Text("data_centre", upstream.data_centre, TextKind::kName,
              Presence::kRequired);
  reader.Text("address", upstream.address, TextKind::kAddress,
              Presence::kRequired);
  reader.Text("generation", upstream.generation, TextKind::kOptionalName);
  reader.Integer("token_capacity", upstream.token_capacity, 0, 1'000'000'000,
                 "tokens");
  reader.Integer("max_concurrency", upstream.max_concurrency, 1, 10'000,
                 "requests");
  reader.Bool("checks_fencing", upstream.checks_fencing);
  reader.Bool("leaving", upstream.leaving);
  return upstream;
}

ServiceSpec ReadService(ObjectReader& reader) {
  ServiceSpec service;
  reader.Text("id", service.id, TextKind::kServiceName, Presence::kRequired);
  reader.Texts("idempotent_methods", service.idempotent_methods,
               TextKind::kMethod, 0, 6);
  reader.Time("time_limit_ms", service.time_limit, 1, kHourMs);
  return service;
}

DataCentreSpec ReadDataCentre(ObjectReader& reader) {
  DataCentreSpec data_centre;
  reader.Text("id", data_centre.id, TextKind::kName, Presence::kRequired);
  reader.Text("region", data_centre.region, TextKind::kName,
              Presence::kRequired);
  reader.Integer("host_slots", data_centre.host_slots, 1, 1000, "hosts");
  reader.Time("latency_within_region_us", data_centre.latency_within_region, 0,
              10'000'000);
  return data_centre;
}

LinkSpec ReadLink(ObjectReader& reader) {
  LinkSpec link;
  reader.Text("from", link.from, TextKind::kName, Presence::kRequired);
  reader.Text("to", link.to, TextKind::kName, Presence::kRequired);
  reader.Integer("budget_bytes_per_second", link.budget_bytes_per_second, 0,
                 1'000'000'000'000, "bytes");
  reader.Time("latency_us", link.latency, 0, 10'000'000);
  return link;
}

RetirementSpec ReadRetirement(ObjectReader& reader) {
  RetirementSpec retirement;
  reader.Text("upstream", retirement.upstream, TextKind::kName,
              Presence::kRequired);
  std::string time;
  reader.Text("retires_at", time, TextKind::kTime, Presence::kRequired);
  retirement.retires_at =
      ParseUtcTime(time).value_or(std::chrono::seconds::zero());
  return retirement;
}

void ReadPolicy(ObjectReader& reader, PolicySpec& policy) {
  reader.Number("goodput_weight", policy.goodput_weight, 0, 1000);
  reader.Number("wasted_prefill_weight", policy.wasted_prefill_weight, 0, 1000);
  reader.Number("retry_budget", policy.retry_budget, 0, 1);
  std::chrono::milliseconds quarantine = policy.quarantine;
  reader.Time("quarantine_ms", quarantine, 1000, 7 * kDayMs);
  policy.quarantine = std::chrono::ceil<std::chrono::seconds>(quarantine);
}

void ReadLimits(ObjectReader& reader, LimitsSpec& limits) {
  reader.Number("claims_per_second", limits.claims_per_second, 0, 1e5);
  reader.Time("claim_retention_ms", limits.claim_retention, 2 * kHourMs,
              30 * kDayMs);
}

// Appends the elements of an array section to `out`.
template <typename Spec>
void ReadArray(const Json& value,
               std::size_t max_count,
               ReadContext& context,
               std::vector<Spec>& out,
               Spec (*read)(ObjectReader&)) {
  ReadObjects(value, "", max_count, context,
              [&](ObjectReader& reader) { out.push_back(read(reader)); });
}

void ReadObjectSection(const Json& value,
                       ReadContext& context,
                       const std::function<void(ObjectReader&)>& read) {
  if (!value.is_object()) {
    AddFault(*context.faults, {.section = context.section,
                               .path = "",
                               .value = FormatValue(value),
                               .allowed = "an object"});
    return;
  }
  ObjectReader reader(value, "", context);
  read(reader);
  reader.Finish();
}

void ReadRegions(ObjectReader& reader, Document& document) {
  reader.Objects("data_centres", kMaxNamedElements, [&](ObjectReader& it) {
    document.data_centres.push_back(ReadDataCentre(it));
  });
  reader.Objects("links", kMaxNamedElements, [&](ObjectReader& it) {
    document.links.push_back(ReadLink(it));
  });
}

void ReadSection(const Json& value, ReadContext& context, Document& document) {
  const std::string& name = context.section;
  if (name == "tiers") {
    ReadArray(value, kMaxNamedElements, context, document.tiers, &ReadTier);
  } else if (name == "workspaces") {
    ReadArray(value, kMaxWorkspaces, context, document.workspaces,
              &ReadWorkspace);
  } else if (name == "models") {
    ReadArray(value, kMaxNamedElements, context, document.models, &ReadModel);
  } else if (name == "upstreams") {
    ReadArray(value, kMaxUpstreams, context, document.upstreams, &ReadUpstream);
  } else if (name == "services") {
    ReadArray(value, kMaxNamedElements, context, document.services,
              &ReadService);
  } else if (name == "retirements") {
    ReadArray(value, kMaxUpstreams, context, document.retirements,
              &ReadRetirement);
  } else if (name == "regions") {
    ReadObjectSection(value, context, [&document](ObjectReader& reader) {
      ReadRegions(reader, document);
    });
  } else if (name == "policy") {
    ReadObjectSection(value, context, [&document](ObjectReader& reader) {
      ReadPolicy(reader, document.policy);
    });
  } else if (name == "limits") {
    ReadObjectSection(value, context, [&document](ObjectReader& reader) {
      ReadLimits(reader, document.limits);
    });
  }
}

void IndexKeys(Document& document) {
  for (std::size_t it = 0; it < document.workspaces.size(); ++it) {
    for (const std::string& hash : document.workspaces[it].key_hashes) {
      document.workspace_by_key_hash.emplace(hash, it);
    }
  }
}

void CheckAndIndex(ReadOutcome& outcome) {
  CheckReferences(outcome.document, outcome.faults);
  IndexKeys(outcome.document);
}

}  // namespace

ReadOutcome ReadDocument(std::string_view text) {
  ReadOutcome outcome;
  const Json json = ParseText(text, "", UnknownFields::kRefuse, outcome.faults);
  if (json.is_discarded()) {
    return outcome;
  }
  if (!json.is_object()) {
    AddFault(outcome.faults, {.section = "",
                              .path = "",
                              .value = FormatValue(json),
                              .allowed = "an object of sections"});
    return outcome;
  }
  for (const auto& [name, value] : json.items()) {
    if (!IsSectionName(name)) {
      const std::string nearest = NearestName(
          name,
          std::vector<std::string>(kSectionNames.begin(), kSectionNames.end()));
      AddFault(
          outcome.faults,
          {.section = name,
           .path = "",
           .value = FormatValue(value),
           .allowed = nearest.empty() ? "a section of the document"
                                      : "unknown section; did you mean \"" +
                                            nearest + "\"?"});
      continue;
    }
    ReadContext context{.section = name,
                        .unknown_fields = UnknownFields::kRefuse,
                        .faults = &outcome.faults};
    ReadSection(value, context, outcome.document);
  }
  CheckAndIndex(outcome);
  return outcome;
}

ReadOutcome ReadSections(const SectionTexts& sections,
                         std::string_view edited_section) {
  ReadOutcome outcome;
  bool is_complete = true;
  for (const auto& [name, text] : sections) {
    const UnknownFields unknown_fields = name == edited_section
                                             ? UnknownFields::kRefuse
                                             : UnknownFields::kIgnore;
    const Json json = ParseText(text, name, unknown_fields, outcome.faults);
    if (json.is_discarded()) {
      is_complete = false;
    } else {
      ReadContext context{.section = name,
                          .unknown_fields = unknown_fields,
                          .faults = &outcome.faults};
      ReadSection(json, context, outcome.document);
    }
  }
  // All references to a section that failed to parse would be reported as
  // faults.
  if (is_complete) {
    CheckAndIndex(outcome);
  }
  return outcome;
}

void DocumentAssembler::AddChunk(const std::string& section,
                                 std::string_view text) {
  const Json json =
      ParseText(text, section, UnknownFields::kIgnore, outcome_.faults);
  if (!json.is_discarded()) {
    ReadContext context{.section = section,
                        .unknown_fields = UnknownFields::kIgnore,
                        .faults = &outcome_.faults};
    ReadSection(json, context, outcome_.document);
  }
}

void DocumentAssembler::CopyWorkspaces(const Document& from,
                                       std::size_t begin,
                                       std::size_t count) {
  const auto first =
      from.workspaces.begin() + static_cast<std::ptrdiff_t>(begin);
  outcome_.document.workspaces.insert(
      outcome_.document.workspaces.end(), first,
      first + static_cast<std::ptrdiff_t>(count));
}

ReadOutcome DocumentAssembler::Finish() {
  CheckAndIndex(outcome_);
  return std::move(outcome_);
}

}  // namespace flamingogauge
