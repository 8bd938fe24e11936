#include "libs/coordination/usage_ledger.h"

namespace flamingogauge {

void UsageLedger::Record(const std::string& source,
                         std::uint64_t process,
                         const UsageByWorkspace& usage) {
  const bool is_first = !sources_.contains(source);
  Source& known = sources_[source];
  if (known.process != process) {
    known.process = process;
    known.reported.clear();
  }
  for (const auto& [workspace, reported] : usage) {
    const auto before = known.reported.find(workspace);
    const double delta = before == known.reported.end()
                             ? reported.spent
                             : reported.spent - before->second;
    known.reported[workspace] = reported.spent;
    // What a source spent before it was first heard of is too old to matter, or
    // was counted by another coordinator.
    if (!is_first) {
      known.spent[workspace] += delta;
      total_[workspace] += delta;
    }
  }
}

void UsageLedger::SetCredits(const UsageByWorkspace& usage) {
  for (const auto& [workspace, reported] : usage) {
    credits_[workspace] = reported.credits;
  }
}

void UsageLedger::Forget(const std::string& source) {
  sources_.erase(source);
}

void UsageLedger::AddTotalExcept(const std::string& except,
                                 UsageByWorkspace& usage) const {
  for (const auto& [workspace, spent] : total_) {
    usage[workspace].spent += spent;
  }
  for (const auto& [workspace, credits] : credits_) {
    usage[workspace].credits = credits;
  }
  const auto excluded = sources_.find(except);
  if (excluded == sources_.end()) {
    return;
  }
  for (const auto& [workspace, spent] : excluded->second.spent) {
    usage[workspace].spent -= spent;
  }
}

}  // namespace flamingogauge
