#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_EXPLANATION_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_EXPLANATION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace flamingogauge {

// Why an upstream would get a request now, or why not.
enum class CandidateState {
  kChosen,
  // A roll-out tries its version with this request.
  kChosenForTrial,
  // It costs more than the chosen one.
  kDearer,
  kFull,
  // Its free places are left to the hosts of other data centres.
  kLeftToOthers,
  // It limits the rate of requests, and this host's part of that is used.
  kRateLimited,
  // It failed lately, and others are healthy.
  kSuspect,
  // The request was sent there before.
  kTriedBefore,
  // It has asked this host for a pause.
  kHeldBack,
  kDraining,
  // It said that it shuts down.
  kLeaving,
  // Another process answers at its address.
  kReplaced,
  // A roll-out admits no further request to its version.
  kVersionNotAdmitted,
};

// Formats as "dearer", "held back" and the like.
const char* ToString(CandidateState state);

// A part of the cost of a placement.
struct CostPart {
  std::string name;
  // Seconds of waiting time.
  double seconds = 0;
};

struct CandidateExplanation {
  std::string upstream;
  std::string data_centre;
  std::string version;
  CandidateState state = CandidateState::kDearer;
  // Requests in progress there, and the most that it gets at a time.
  int running = 0;
  int places = 0;
  // Without the random part of at most 10 ms; empty if it cannot get the
  // request.
  std::vector<CostPart> cost;

  // The sum of the cost's parts, in seconds.
  double TotalCost() const;
};

// What a dispatcher would do with a request that arrived now.
struct PlacementExplanation {
  // The upstreams of its service: the chosen one, if there is one, then those
  // with the lowest cost, then those that cannot get it.
  std::vector<CandidateExplanation> candidates;
  // Requests of its service that wait and come before it.
  std::size_t ahead = 0;
  // Until it would start, if no upstream was chosen.
  std::chrono::milliseconds expected_wait{0};

  // Why it would be refused on arrival; empty if it would be sent or wait.
  std::string refusal;
  // The shortest time that its caller would be told to wait.
  std::optional<std::chrono::milliseconds> retry_after;

  // The upstream that gets the request now, or null.
  const CandidateExplanation* Chosen() const;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_EXPLANATION_H_
