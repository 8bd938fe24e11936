#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

__extension__ using Uint128 = unsigned __int128;

}  // namespace

std::uint64_t Random::Next() {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

std::uint64_t Random::NextBelow(std::uint64_t bound) {
  // The high half of the product is uniform up to a bias of bound / 2^64.
  return static_cast<std::uint64_t>((static_cast<Uint128>(Next()) * bound) >>
                                    64);
}

double Random::NextDouble() {
  constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kUnit;
}

bool Random::NextBool(double probability) {
  return NextDouble() < probability;
}

}  // namespace flamingogauge
