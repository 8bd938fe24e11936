// Runs several hosts in virtual time with concurrent edits, store outages,
// delayed and lost answers, network partitions and replaced hosts. Guards
// against accepted edits that are lost, refused edits that take effect, and
// revisions in force that decrease. Prints the seed of each failed run.

#include <gflags/gflags.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/document/manifest.h"
#include "libs/kernel/log.h"
#include "libs/kernel/random.h"
#include "tests/auto/configuration/cluster_fixture.h"
#include "tests/auto/document/sample_document.h"

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(runs, 20, "number of runs, each with the next seed");
DEFINE_uint64(steps, 200, "number of random steps of a run");

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Verdict { kPending, kAccepted, kNotAccepted, kUnknown };

// An edit that the run has sent; its author names it in the history.
struct SentEdit {
  std::string author;
  std::string section;
  std::uint64_t expected_revision = 0;
  Verdict verdict = Verdict::kPending;
  std::uint64_t revision = 0;
};

struct Totals {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;
};

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : random_(seed),
        cluster_(seed, {.initial_document_text = kSampleDocument}) {}

  // Returns descriptions of what went wrong.
  std::vector<std::string> Run(Totals& totals) {
    for (const auto& [host, data_centre] : kHosts) {
      cluster_.StartHost(host, data_centre);
    }
    for (std::uint64_t it = 0; it < FLAGS_steps; ++it) {
      Step();
      cluster_.runner->RunFor(milliseconds(random_.NextBelow(400)));
    }
    ClearFaults();
    CheckOutcome();
    Count(totals);
    return std::move(problems_);
  }

 private:
  using HostRow = std::pair<const char*, const char*>;
  // Above the values of the sample document, so that each edit is a change.
  static constexpr std::size_t kFirstValue = 100;
  static constexpr HostRow kHosts[] = {{"a1", "aarhus"},
                                       {"a2", "aarhus"},
                                       {"a3", "aarhus"},
                                       {"o1", "odense"},
                                       {"o2", "odense"}};

  const HostRow& AnyHost() {
    return kHosts[random_.NextBelow(std::size(kHosts))];
  }

  void Step() {
    const std::uint64_t kind = random_.NextBelow(100);
    if (kind < 60) {
      SendEdit(AnyHost().first);
    } else if (kind < 75) {
      cluster_.store.SetFaults(
          {.outage = random_.NextBool(0.3),
           .delay = milliseconds(random_.NextBelow(300)),
           .lost_answer_probability = random_.NextDouble() * 0.5,
           .lost_change_delay = milliseconds(random_.NextBelow(3000))});
    } else if (kind < 85) {
      cluster_.CutFromStore(AnyHost().first, random_.NextBool(0.3));
    } else if (kind < 95) {
      cluster_.CutFromPeers(AnyHost().first, random_.NextBool(0.3));
    } else {
      const HostRow& row = AnyHost();
      cluster_.StartHost(row.first, row.second);
    }
  }

  void SendEdit(const HostId& host) {
    static const std::map<std::string, std::string> kFields = {
        {"policy", "goodput_weight"}, {"limits", "claims_per_second"}};
    const std::string section = random_.NextBool(0.5) ? "policy" : "limits";
    const std::size_t index = edits_.size();
    const std::string author = "edit-" + std::to_string(index);
    const std::uint64_t expected = cluster_.Revision(host);
    edits_.push_back(
        {.author = author, .section = section, .expected_revision = expected});
    cluster_.core(host).Apply(
        {.section = section,
         .text = "{\"" + kFields.at(section) +
                 "\":" + std::to_string(kFirstValue + index) + "}",
         .expected_revision = expected,
         .author = author},
        [this, index](Result<EditOutcome> outcome) {
          SentEdit& edit = edits_[index];
          if (!outcome) {
            edit.verdict = outcome.error().code == ErrorCode::kUnknownOutcome
                               ? Verdict::kUnknown
                               : Verdict::kNotAccepted;
          } else {
            edit.revision = outcome.value().revision;
            edit.verdict =
                edit.revision > 0 ? Verdict::kAccepted : Verdict::kNotAccepted;
          }
        });
  }

  void ClearFaults() {
    cluster_.store.SetFaults({});
    for (const auto& [host, data_centre] : kHosts) {
      cluster_.CutFromStore(host, false);
      cluster_.CutFromPeers(host, false);
    }
    cluster_.runner->RunFor(seconds(60));
  }

  Manifest ReadStored(const std::string& key) {
    const Result<StoredObject> object = cluster_.store.Snapshot().Get(key);
    const auto manifest =
        object ? ReadManifest(object.value().value) : std::nullopt;
    if (!manifest) {
      problems_.push_back("cannot read " + key);
    }
    return manifest.value_or(Manifest());
  }

  // Follows the chain of manifests from the newest to the first revision.
  void CheckOutcome() {
    Manifest manifest = ReadStored(kManifestKey);
    if (!cluster_.AllHave(manifest.revision)) {
      problems_.push_back("not all hosts have revision " +
                          std::to_string(manifest.revision));
    }
    std::map<std::uint64_t, std::string> author_of;
    while (manifest.revision > 1) {
      author_of[manifest.revision] = manifest.history.front().author;
      const std::string section = manifest.history.front().section;
      const Manifest parent =
          ReadStored(kChunkPrefix + manifest.history.at(1).manifest_hash);
      for (const auto& [name, it] : manifest.sections) {
        if (parent.revision > 0 && name != section &&
            it.chunks != parent.sections.at(name).chunks) {
          std::string problem = "revision " + std::to_string(manifest.revision);
          problem.append(" changes ")
              .append(name)
              .append(", an edit of ")
              .append(section);
          problems_.push_back(std::move(problem));
        }
      }
      for (const SentEdit& it : edits_) {
        if (it.author == manifest.history.front().author &&
            parent.sections.at(section).changed_in > it.expected_revision) {
          std::string problem = it.author;
          problem.append(" overwrote a newer edit of ").append(section);
          problems_.push_back(std::move(problem));
        }
      }
      if (parent.revision + 1 != manifest.revision) {
        problems_.push_back("the chain breaks at revision " +
                            std::to_string(manifest.revision));
        return;
      }
      manifest = parent;
    }
    std::map<std::string, std::uint64_t> times_found;
    for (const auto& [revision, author] : author_of) {
      ++times_found[author];
    }
    for (const SentEdit& it : edits_) {
      const std::uint64_t times = times_found[it.author];
      const bool found = author_of[it.revision] == it.author;
      if (it.verdict == Verdict::kAccepted && !found) {
        problems_.push_back(it.author + " was accepted and is lost");
      }
      if (it.verdict == Verdict::kNotAccepted && times != 0) {
        problems_.push_back(it.author + " was refused and took effect");
      }
      if (times > 1) {
        problems_.push_back(it.author + " took effect twice");
      }
    }
    for (const std::string& it : cluster_.violations) {
      problems_.push_back(it);
    }
  }

  void Count(Totals& totals) const {
    for (const SentEdit& it : edits_) {
      totals.accepted += it.verdict == Verdict::kAccepted ? 1 : 0;
      totals.refused += it.verdict == Verdict::kNotAccepted ? 1 : 0;
      totals.unknown += it.verdict == Verdict::kUnknown ? 1 : 0;
      totals.abandoned += it.verdict == Verdict::kPending ? 1 : 0;
    }
  }

  Random random_;
  std::vector<SentEdit> edits_;
  std::vector<std::string> problems_;
  Cluster cluster_;
};

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  flamingogauge::InitializeLogging(flamingogauge::LogLevel::kError);
  flamingogauge::Totals totals;
  std::uint64_t failed_runs = 0;
  for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs;
       ++seed) {
    const auto problems = flamingogauge::RandomRun(seed).Run(totals);
    for (const std::string& it : problems) {
      std::printf("--seed=%llu: %s\n", static_cast<unsigned long long>(seed),
                  it.c_str());
    }
    failed_runs += problems.empty() ? 0 : 1;
  }
  std::printf(
      "runs: %llu, failed: %llu, edits accepted: %llu, refused: %llu, unknown: "
      "%llu, lost with their host: %llu\n",
      static_cast<unsigned long long>(FLAGS_runs),
      static_cast<unsigned long long>(failed_runs),
      static_cast<unsigned long long>(totals.accepted),
      static_cast<unsigned long long>(totals.refused),
      static_cast<unsigned long long>(totals.unknown),
      static_cast<unsigned long long>(totals.abandoned));
  return failed_runs == 0 ? 0 : 1;
}
