#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_MODELS_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_MODELS_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace flamingogauge {

// The models loaded in the fake engine and the number of orders applied. An
// order whose fencing number is lower than the highest one received is
// rejected.
class FakeEngineModels {
 public:
  enum class Result { kDone, kStaleFencingNumber, kInvalid };

  Result ApplyOrder(const std::string& body);

  // {"models":[...],"orders":N,"fencing_number":N}
  std::string Json() const;

 private:
  mutable std::mutex mutex_;
  std::set<std::string> models_;
  std::uint64_t highest_fencing_number_ = 0;
  std::uint64_t orders_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_MODELS_H_
