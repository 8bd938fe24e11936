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

// One class of urgency; its position in the section is its Tier.
struct TierSpec {
  std::string name;
  // From acceptance to the first token.
  std::chrono::milliseconds first_token_target{1000};
  // From acceptance to the end of the answer.
  std::chrono::milliseconds deadline{60000};
};

// A limit of a workspace, a sum over all hosts; 0 means no limit.
struct WorkspaceLimits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::uint32_t concurrency = 0;
};

struct WorkspaceSpec {
  WorkspaceId id;
  // Hexadecimal SHA-256 of each bearer key.
  std::vector<std::string> key_hashes;
  Tier default_tier = 0;
  // The most urgent tier that its requests may ask for.
  Tier highest_tier = 0;
  // Its share inside a tier, relative to the other workspaces.
  double weight = 1.0;
  WorkspaceLimits limits;
};

struct ModelSpec {
  ModelId id;
  std::uint32_t max_context_tokens = 8192;
  std::uint32_t default_max_output_tokens = 1024;
};

enum class UpstreamKind { kEngine, kService };

struct UpstreamSpec {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  // The models an engine serves, or the one service.
  std::vector<std::string> targets;
  DataCentreId data_centre;
  // "ip:port".
  std::string address;
  // Hardware generation, for the first estimate of its rates.
  std::string generation;
  // Room for tokens of running requests; 0 when the engine reports it.
  std::uint64_t token_capacity = 0;
  // The largest number of requests at the same time.
  std::uint32_t max_concurrency = 16;
  // True when it refuses orders with an old fencing number.
  bool checks_fencing = false;
  // True from the moment it must receive no new work.
  bool leaving = false;
};

struct ServiceSpec {
  ServiceId id;
  // Methods whose calls may be repeated; all others need an idempotency key.
  std::vector<std::string> idempotent_methods{"GET"};
  std::chrono::milliseconds time_limit{10000};
};

struct DataCentreSpec {
  DataCentreId id;
  RegionId region;
  // The number of entry hosts among which limits are divided.
  std::uint32_t host_slots = 3;
  std::chrono::microseconds latency_within_region{1000};
};

struct LinkSpec {
  RegionId from;
  RegionId to;
  // What the system may use of the link, in bytes a second.
  std::uint64_t budget_bytes_per_second = 0;
  std::chrono::microseconds latency{20000};
};

struct RetirementSpec {
  UpstreamId upstream;
  // Seconds since 1970-01-01 UTC.
  std::chrono::seconds retires_at{0};
};

// The weights by which deployments differ.
struct PolicySpec {
  double goodput_weight = 1.0;
  double wasted_prefill_weight = 1.0;
  // Retries as a fraction of the traffic.
  double retry_budget = 0.1;
  std::chrono::seconds quarantine{3600};
};

// Limits of the whole deployment, sums over all hosts.
struct LimitsSpec {
  // Claims for non-idempotent requests, of which each takes two writes to the
  // platform's store.
  double claims_per_second = 100;
  // How long the record of a non-idempotent request is kept.
  std::chrono::milliseconds claim_retention{86'400'000};
};

// One accepted revision of the operators' document, immutable once published.
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
  // Finds a workspace's position by the SHA-256 of a bearer key.
  std::unordered_map<std::string, std::size_t> workspace_by_key_hash;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_H_
