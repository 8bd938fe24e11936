#ifndef FLAMINGOGAUGE_LIBS_KERNEL_RANDOM_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_RANDOM_H_

#include <cstdint>

namespace flamingogauge {

// A small deterministic generator (SplitMix64, Steele, Lea and Flood 2014).
// Decision libraries receive one with a seed, so that a run can be replayed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns the next 64 uniformly distributed bits.
  std::uint64_t Next();

  // Returns a number in [0, bound); `bound` must be positive.
  std::uint64_t NextBelow(std::uint64_t bound);

  // Returns a number in [0, 1).
  double NextDouble();

  // Returns true with the given probability in [0, 1].
  bool NextBool(double probability);

 private:
  std::uint64_t state_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_RANDOM_H_
