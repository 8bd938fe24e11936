#include "libs/document/document_references.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/document/nearest_name.h"

namespace flamingogauge {
namespace {

// Set of the names to which one kind of reference may refer.
class NameSet {
 public:
  explicit NameSet(std::string section) : section_(std::move(section)) {}

  // Returns false if the name is already present.
  bool Add(const std::string& name) { return names_.insert(name).second; }

  bool Contains(const std::string& name) const { return names_.contains(name); }

  // Describes the allowed values after a reference to the unknown name `name`.
  std::string DescribeAllowed(const std::string& name) const {
    std::string text = "a name from section " + section_;
    const std::string nearest = NearestName(
        name, std::vector<std::string>(names_.begin(), names_.end()));
    if (!nearest.empty()) {
      text += "; did you mean \"" + nearest + "\"?";
    }
    return text;
  }

 private:
  std::string section_;
  std::set<std::string> names_;
};

std::string FieldPath(std::size_t index, const char* field) {
  return "/" + std::to_string(index) + "/" + field;
}

class ReferenceChecker {
 public:
  ReferenceChecker(const Document& document, DocumentFaults& faults)
      : document_(document), faults_(faults) {}

  void Check() {
    CheckTiers();
    CheckNames();
    CheckWorkspaces();
    CheckModels();
    CheckUpstreams();
    CheckLinks();
    CheckRetirements();
  }

 private:
  void Add(const char* section,
           std::string path,
           const std::string& value,
           std::string allowed) {
    AddFault(faults_, {.section = section,
                       .path = std::move(path),
                       .value = value,
                       .allowed = std::move(allowed)});
  }

  template <typename Specs, typename Member>
  void CollectNames(const char* section,
                    const char* prefix,
                    const char* field,
                    const Specs& specs,
                    Member member,
                    NameSet& names) {
    for (std::size_t it = 0; it < specs.size(); ++it) {
      const std::string& name = specs[it].*member;
      // The reader leaves invalid names empty.
      if (!name.empty() && !names.Add(name)) {
        Add(section, prefix + FieldPath(it, field), name,
            "a name that no other element has");
      }
    }
  }

  void CheckTiers() {
    if (document_.tiers.empty() || document_.tiers.size() > kMaxTiers) {
      Add("tiers", "", std::to_string(document_.tiers.size()) + " tiers",
          "1 to " + std::to_string(kMaxTiers) + " tiers");
    }
    NameSet names("tiers");
    CollectNames("tiers", "", "name", document_.tiers, &TierSpec::name, names);
    for (std::size_t it = 0; it < document_.tiers.size(); ++it) {
      const TierSpec& tier = document_.tiers[it];
      if (tier.deadline < tier.first_token_target) {
        Add("tiers", FieldPath(it, "deadline_ms"),
            std::to_string(tier.deadline.count()),
            "at least first_token_target_ms, which is " +
                std::to_string(tier.first_token_target.count()));
      }
    }
  }

  void CheckNames() {
    CollectNames("models", "", "id", document_.models, &ModelSpec::id, models_);
    CollectNames("services", "", "id", document_.services, &ServiceSpec::id,
                 services_);
    CollectNames("upstreams", "", "id", document_.upstreams, &UpstreamSpec::id,
                 upstreams_);
    CollectNames("regions", "/data_centres", "id", document_.data_centres,
                 &DataCentreSpec::id, data_centres_);
    for (const DataCentreSpec& it : document_.data_centres) {
      regions_.Add(it.region);
    }
  }

  void CheckWorkspaces() {
    NameSet names("workspaces");
    CollectNames("workspaces", "", "id", document_.workspaces,
                 &WorkspaceSpec::id, names);
    std::set<std::string> hashes;
    for (std::size_t it = 0; it < document_.workspaces.size(); ++it) {
      const WorkspaceSpec& workspace = document_.workspaces[it];
      if (workspace.default_tier >= document_.tiers.size()) {
        Add("workspaces", FieldPath(it, "default_tier"),
            std::to_string(workspace.default_tier),
            "a tier from 0 to the number of tiers less one");
      }
      if (workspace.highest_tier > workspace.default_tier) {
        Add("workspaces", FieldPath(it, "highest_tier"),
            std::to_string(workspace.highest_tier),
            "at most default_tier, which is " +
                std::to_string(workspace.default_tier));
      }
      for (std::size_t key = 0; key < workspace.key_hashes.size(); ++key) {
        if (!hashes.insert(workspace.key_hashes[key]).second) {
          Add("workspaces", FieldPath(it, "key_hashes/") + std::to_string(key),
              workspace.key_hashes[key], "a hash that no other key has");
        }
      }
    }
  }

  void CheckModels() {
    for (std::size_t it = 0; it < document_.models.size(); ++it) {
      const ModelSpec& model = document_.models[it];
      if (model.default_max_output_tokens > model.max_context_tokens) {
        Add("models", FieldPath(it, "default_max_output_tokens"),
            std::to_string(model.default_max_output_tokens),
            "at most max_context_tokens, which is " +
                std::to_string(model.max_context_tokens));
      }
    }
  }

  void CheckUpstreams() {
    NameSet addresses("upstreams");
    CollectNames("upstreams", "", "address", document_.upstreams,
                 &UpstreamSpec::address, addresses);
    for (std::size_t it = 0; it < document_.upstreams.size(); ++it) {
      const UpstreamSpec& upstream = document_.upstreams[it];
      if (!upstream.data_centre.empty() &&
          !data_centres_.Contains(upstream.data_centre)) {
        Add("upstreams", FieldPath(it, "data_centre"), upstream.data_centre,
            data_centres_.DescribeAllowed(upstream.data_centre));
      }
      const bool is_service = upstream.kind == UpstreamKind::kService;
      if (is_service && upstream.targets.size() > 1) {
        Add("upstreams", FieldPath(it, "targets"),
            std::to_string(upstream.targets.size()) + " targets",
            "one service");
      }
      const NameSet& targets = is_service ? services_ : models_;
      for (std::size_t n = 0; n < upstream.targets.size(); ++n) {
        if (!targets.Contains(upstream.targets[n])) {
          Add("upstreams", FieldPath(it, "targets/") + std::to_string(n),
              upstream.targets[n],
              targets.DescribeAllowed(upstream.targets[n]));
        }
      }
    }
  }

  void CheckLinks() {
    std::set<std::pair<RegionId, RegionId>> seen;
    for (std::size_t it = 0; it < document_.links.size(); ++it) {
      const LinkSpec& link = document_.links[it];
      CheckRegion("/links" + FieldPath(it, "from"), link.from);
      CheckRegion("/links" + FieldPath(it, "to"), link.to);
      if (!link.from.empty() && link.from == link.to) {
        Add("regions", "/links" + FieldPath(it, "to"), link.to,
            "another region");
      }
      if (!seen.emplace(link.from, link.to).second) {
        Add("regions", "/links/" + std::to_string(it),
            link.from + " to " + link.to, "one link for each direction");
      }
    }
  }

  void CheckRegion(std::string path, const RegionId& region) {
    if (!region.empty() && !regions_.Contains(region)) {
      Add("regions", std::move(path), region,
          regions_.DescribeAllowed(region) + " (the region of a data centre)");
    }
  }

  void CheckRetirements() {
    NameSet names("retirements");
    CollectNames("retirements", "", "upstream", document_.retirements,
                 &RetirementSpec::upstream, names);
    for (std::size_t it = 0; it < document_.retirements.size(); ++it) {
      const UpstreamId& upstream = document_.retirements[it].upstream;
      if (!upstream.empty() && !upstreams_.Contains(upstream)) {
        Add("retirements", FieldPath(it, "upstream"), upstream,
            upstreams_.DescribeAllowed(upstream));
      }
    }
  }

  const Document& document_;
  DocumentFaults& faults_;
  NameSet models_{"models"};
  NameSet services_{"services"};
  NameSet upstreams_{"upstreams"};
  NameSet data_centres_{"regions"};
  NameSet regions_{"regions"};
};

}  // namespace

void CheckReferences(const Document& document, DocumentFaults& faults) {
  ReferenceChecker(document, faults).Check();
}

}  // namespace flamingogauge
