#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/model/ids.h"
#include "libs/model/permit.h"

namespace flamingogauge {

// A priority class of requests. Its Tier is its index in the section.
struct TierSpec {
  std::string name;
  // Target time from the acceptance of a request to its first token.
  std::chrono::milliseconds first_token_target{1000};
  // Time limit from the acceptance of a request to the end of the answer.
  std::chrono::milliseconds deadline{60000};

  bool operator==(const TierSpec&) const = default;
};

// Limits of a workspace, summed over all hosts; 0 means no limit.
struct WorkspaceLimits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::uint32_t concurrency = 0;

  bool operator==(const WorkspaceLimits&) const = default;
};

struct WorkspaceSpec {
  WorkspaceId id;
  // Hexadecimal SHA-256 of each bearer key.
  std::vector<std::string> key_hashes;
  Tier default_tier = 0;
  // Most urgent tier that its requests may use.
  Tier highest_tier = 0;
  // Share within a tier, relative to the other workspaces.
  double weight = 1.0;
  WorkspaceLimits limits;

  bool operator==(const WorkspaceSpec&) const = default;
};

struct ModelSpec {
  ModelId id;
  std::uint32_t max_context_tokens = 8192;
  std::uint32_t default_max_output_tokens = 1024;

  bool operator==(const ModelSpec&) const = default;
};

enum class UpstreamKind { kEngine, kService };

struct UpstreamSpec {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  // Models served by an engine, or the single service of a service upstream.
  std::vector<std::string> targets;
  DataCentreId data_centre;
  // "ip:port".
  std::string address;
  // Hardware generation, used for the initial estimate of its token rates.
  std::string generation;
  // Maximum number of tokens of all running requests; 0 if the engine reports
  // it.
  std::uint64_t token_capacity = 0;
  // Maximum number of concurrent requests.
  std::uint32_t max_concurrency = 16;
  // True if it rejects orders with an outdated fencing number.
  bool checks_fencing = false;
  // True if it must not receive new requests.
  bool leaving = false;

  bool operator==(const UpstreamSpec&) const = default;
};

struct ServiceSpec {
  ServiceId id;
  // Methods whose calls may be retried; all others need an idempotency key.
  std::vector<std::string> idempotent_methods{"GET"};
  std::chrono::milliseconds time_limit{10000};

  bool operator==(const ServiceSpec&) const = default;
};

struct DataCentreSpec {
  DataCentreId id;
  RegionId region;
  // Number of entry hosts over which limits are divided.
  std::uint32_t host_slots = 3;
  std::chrono::microseconds latency_within_region{1000};

  bool operator==(const DataCentreSpec&) const = default;
};

struct LinkSpec {
  RegionId from;
  RegionId to;
  // Bandwidth of the link that the system may use.
  std::uint64_t budget_bytes_per_second = 0;
  std::chrono::microseconds latency{20000};

  bool operator==(const LinkSpec&) const = default;
};

struct RetirementSpec {
  UpstreamId upstream;
  // Seconds since 1970-01-01 UTC.
  std::chrono::seconds retires_at{0};

  bool operator==(const RetirementSpec&) const = default;
};

// Weights and limits that differ between deployments.
struct PolicySpec {
  double goodput_weight = 1.0;
  double wasted_prefill_weight = 1.0;
  // Maximum number of retries as a fraction of the requests.
  double retry_budget = 0.1;
  std::chrono::seconds quarantine{3600};

  bool operator==(const PolicySpec&) const = default;
};

// Limits of the whole deployment, summed over all hosts.
struct LimitsSpec {
  // Rate of claims for non-idempotent requests. Each claim takes two writes to
  // the platform's store.
  double claims_per_second = 100;
  // How long the claim record of a non-idempotent request is kept.
  std::chrono::milliseconds claim_retention{86'400'000};

  bool operator==(const LimitsSpec&) const = default;
};

// An accepted revision of the operators' document; immutable after publication.
struct Document {
  // 1 for the first accepted revision; 0 means none.
  std::uint64_t revision = 0;
  std::vector<TierSpec> tiers;
  std::vector<WorkspaceSpec> workspaces;
  std::vector<ModelSpec> models;
  std::vector<UpstreamSpec> upstreams;
  std::vector<ServiceSpec> services;
  std::vector<DataCentreSpec> data_centres;
  std::vector<LinkSpec> links;
  std::vector<RetirementSpec> retirements;
  PolicySpec policy;
  LimitsSpec limits;
  // Maps the SHA-256 hash of a bearer key to the index of its workspace.
  std::unordered_map<std::string, std::size_t> workspace_by_key_hash;

  bool operator==(const Document&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_H_
