#include <algorithm>
#include <nlohmann/json.hpp>

#include "libs/document/document_json.h"
#include "libs/document/text_rules.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

Json Write(const TierSpec& it) {
  return {{"name", it.name},
          {"first_token_target_ms", it.first_token_target.count()},
          {"deadline_ms", it.deadline.count()}};
}

Json Write(const WorkspaceSpec& it) {
  return {{"id", it.id},
          {"key_hashes", it.key_hashes},
          {"default_tier", it.default_tier},
          {"highest_tier", it.highest_tier},
          {"weight", it.weight},
          {"limits",
           {{"requests_per_second", it.limits.requests_per_second},
            {"tokens_per_second", it.limits.tokens_per_second},
            {"concurrency", it.limits.concurrency}}}};
}

Json Write(const ModelSpec& it) {
  return {{"id", it.id},
          {"max_context_tokens", it.max_context_tokens},
          {"default_max_output_tokens", it.default_max_output_tokens}};
}

Json Write(const UpstreamSpec& it) {
  return {{"id", it.id},
          {"kind", it.kind == UpstreamKind::kService ? "service" : "engine"},
          {"targets", it.targets},
          {"data_centre", it.data_centre},
          {"address", it.address},
          {"generation", it.generation},
          {"token_capacity", it.token_capacity},
          {"max_concurrency", it.max_concurrency},
          {"checks_fencing", it.checks_fencing},
          {"leaving", it.leaving}};
}

Json Write(const ServiceSpec& it) {
  return {{"id", it.id},
          {"idempotent_methods", it.idempotent_methods},
          {"time_limit_ms", it.time_limit.count()}};
}

Json Write(const DataCentreSpec& it) {
  return {{"id", it.id},
          {"region", it.region},
          {"host_slots", it.host_slots},
          {"latency_within_region_us", it.latency_within_region.count()}};
}

Json Write(const LinkSpec& it) {
  return {{"from", it.from},
          {"to", it.to},
          {"budget_bytes_per_second", it.budget_bytes_per_second},
          {"latency_us", it.latency.count()}};
}

Json Write(const RetirementSpec& it) {
  return {{"upstream", it.upstream},
          {"retires_at", FormatUtcTime(it.retires_at)}};
}

Json Write(const PolicySpec& it) {
  return {{"goodput_weight", it.goodput_weight},
          {"wasted_prefill_weight", it.wasted_prefill_weight},
          {"retry_budget", it.retry_budget},
          {"quarantine_ms", std::chrono::milliseconds(it.quarantine).count()}};
}

Json Write(const LimitsSpec& it) {
  return {{"claims_per_second", it.claims_per_second},
          {"claim_retention_ms", it.claim_retention.count()}};
}

template <typename Spec>
Json WriteArray(const std::vector<Spec>& specs) {
  Json array = Json::array();
  for (const Spec& it : specs) {
    array.push_back(Write(it));
  }
  return array;
}

template <typename Spec>
std::vector<SectionElement> ToElements(const std::vector<Spec>& specs,
                                       std::string Spec::*key) {
  std::vector<SectionElement> elements;
  for (const Spec& it : specs) {
    elements.push_back({.key = it.*key, .text = Write(it).dump()});
  }
  return elements;
}

}  // namespace

bool IsSectionName(std::string_view name) {
  return std::find(kSectionNames.begin(), kSectionNames.end(), name) !=
         kSectionNames.end();
}

bool IsArraySection(std::string_view name) {
  return name != "regions" && name != "policy" && name != "limits";
}

std::vector<SectionElement> WriteElements(const Document& document,
                                          std::string_view section) {
  if (section == "tiers") {
    return ToElements(document.tiers, &TierSpec::name);
  }
  if (section == "workspaces") {
    return ToElements(document.workspaces, &WorkspaceSpec::id);
  }
  if (section == "models") {
    return ToElements(document.models, &ModelSpec::id);
  }
  if (section == "upstreams") {
    return ToElements(document.upstreams, &UpstreamSpec::id);
  }
  if (section == "services") {
    return ToElements(document.services, &ServiceSpec::id);
  }
  if (section == "retirements") {
    return ToElements(document.retirements, &RetirementSpec::upstream);
  }
  if (section == "policy") {
    return {{.key = "", .text = Write(document.policy).dump()}};
  }
  if (section == "limits") {
    return {{.key = "", .text = Write(document.limits).dump()}};
  }
  const Json regions = {{"data_centres", WriteArray(document.data_centres)},
                        {"links", WriteArray(document.links)}};
  return {{.key = "", .text = regions.dump()}};
}

std::string JoinElements(std::string_view section,
                         const std::vector<SectionElement>& elements) {
  if (!IsArraySection(section)) {
    return elements.empty() ? "{}" : elements.front().text;
  }
  std::string text = "[";
  for (const SectionElement& it : elements) {
    if (text.size() > 1) {
      text += ',';
    }
    text += it.text;
  }
  text += ']';
  return text;
}

SectionTexts WriteSections(const Document& document) {
  SectionTexts sections;
  for (const std::string_view it : kSectionNames) {
    sections.emplace(it, JoinElements(it, WriteElements(document, it)));
  }
  return sections;
}

std::string JoinSections(const SectionTexts& sections) {
  std::string text = "{";
  for (const std::string_view name : kSectionNames) {
    const auto it = sections.find(name);
    if (it == sections.end()) {
      continue;
    }
    if (text.size() > 1) {
      text += ',';
    }
    text += '"';
    text += name;
    text += "\":";
    text += it->second;
  }
  text += '}';
  return text;
}

std::string IndentJson(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? std::string(text) : json.dump(2);
}

}  // namespace flamingogauge
