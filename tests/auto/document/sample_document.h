#ifndef FLAMINGOGAUGE_TESTS_AUTO_DOCUMENT_SAMPLE_DOCUMENT_H_
#define FLAMINGOGAUGE_TESTS_AUTO_DOCUMENT_SAMPLE_DOCUMENT_H_

#include <cstdio>
#include <string>

namespace flamingogauge {

// A small valid document in which no section is empty.
inline constexpr char kSampleDocument[] = R"({
  "tiers": [{"name": "urgent"}, {"name": "normal", "deadline_ms": 120000}],
  "workspaces": [{"id": "w1", "default_tier": 1, "highest_tier": 0,
                  "key_hashes": []}],
  "models": [{"id": "m1"}],
  "upstreams": [
    {"id": "u1", "targets": ["m1"], "data_centre": "aarhus",
     "address": "127.0.0.1:1001"},
    {"id": "u2", "kind": "service", "targets": ["booking"],
     "data_centre": "odense", "address": "127.0.0.1:1002"}],
  "services": [{"id": "booking"}],
  "regions": {
    "data_centres": [{"id": "aarhus", "region": "jylland"},
                     {"id": "odense", "region": "fyn"}],
    "links": [{"from": "jylland", "to": "fyn",
               "budget_bytes_per_second": 3750000}]},
  "retirements": [{"upstream": "u1", "retires_at": "2027-06-30T12:00:00Z"}],
  "policy": {"goodput_weight": 2},
  "limits": {"claims_per_second": 50}
})";

// Returns the text of a workspaces section with `count` elements. The element
// with the index `changed` has a different weight.
inline std::string ManyWorkspaces(int count, int changed = -1) {
  std::string text = "[";
  for (int it = 0; it < count; ++it) {
    char buf[256];
    std::snprintf(buf, sizeof(buf),
                  R"(%s{"id":"workspace-%05d","key_hashes":["%064x"],)"
                  R"("default_tier":1,"weight":%d})",
                  it == 0 ? "" : ",", it, it, it == changed ? 2 : 1);
    text += buf;
  }
  return text + "]";
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_DOCUMENT_SAMPLE_DOCUMENT_H_
