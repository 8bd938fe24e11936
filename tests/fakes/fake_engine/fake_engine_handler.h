#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_HANDLER_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_HANDLER_H_

#include <pistache/endpoint.h>

#include <functional>
#include <memory>

#include "tests/fakes/fake_engine/fake_engine_models.h"
#include "tests/fakes/fake_engine/fake_engine_state.h"

namespace flamingogauge {

// Serves the engine protocol of docs/design.md, section 15, and the fake's own
// endpoints for injecting faults and reading execution counts.
class FakeEngineHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(FakeEngineHandler)

  // `crash` is called for a prompt that matches FakeEngineFaults::crash_on.
  FakeEngineHandler(std::shared_ptr<FakeEngineState> state,
                    std::function<void()> crash)
      : state_(std::move(state)), crash_(std::move(crash)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override;

 private:
  void HandleChat(const Pistache::Http::Request& request,
                  Pistache::Http::ResponseWriter& response);
  void HandleStream(const Pistache::Http::Request& request,
                    Pistache::Http::ResponseWriter& response);
  void HandleOrder(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter& response);
  void HandleFault(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter& response);

  std::shared_ptr<FakeEngineState> state_;
  // Shared by the handler copies that Pistache makes, one for each thread.
  std::shared_ptr<FakeEngineModels> models_ =
      std::make_shared<FakeEngineModels>();
  std::function<void()> crash_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_HANDLER_H_
