#include "tests/fakes/fake_service/fake_service.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "tests/fakes/fake_engine/not_executed_header.h"

namespace flamingogauge {

namespace Http = Pistache::Http;

class FakeService::Handler : public Http::Handler {
 public:
  HTTP_PROTOTYPE(FakeService::Handler)

  explicit Handler(std::shared_ptr<State> state) : state_(std::move(state)) {}

  void onRequest(const Http::Request& request,
                 Http::ResponseWriter response) override {
    if (request.resource() == "/executions") {
      response.send(Http::Code::Ok, CountsJson(), MIME(Application, Json));
    } else if (request.resource() == "/fault") {
      HandleFault(request, response);
    } else {
      HandleCall(request, response);
    }
  }

 private:
  void HandleCall(const Http::Request& request,
                  Http::ResponseWriter& response) {
    FakeServiceFaults faults;
    std::uint64_t number = 0;
    const auto key = request.headers().tryGetRaw("Idempotency-Key");
    {
      std::lock_guard<std::mutex> lock(state_->mutex);
      faults = state_->faults;
      if (!faults.refuse) {
        if (request.method() == Http::Method::Get) {
          ++state_->reads;
        } else {
          number = ++state_->total;
          ++state_->by_key[key ? key->value() : ""];
        }
      }
    }
    if (faults.refuse) {
      response.headers().add<NotExecutedHeader>();
      response.send(Http::Code::Service_Unavailable, R"({"error":"full"})");
      return;
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.drop_answer) {
      if (const auto peer = response.getPeer()) {
        ::shutdown(peer->fd(), SHUT_RDWR);
      }
      return;
    }
    const nlohmann::json body{{"booking", number},
                              {"key", key ? key->value() : ""},
                              {"path", request.resource()}};
    response.send(Http::Code::Ok,
                  body.dump() + std::string(faults.padding, ' '),
                  MIME(Application, Json));
  }

  void HandleFault(const Http::Request& request,
                   Http::ResponseWriter& response) {
    const auto json = nlohmann::json::parse(request.body(), nullptr, false);
    if (!json.is_object()) {
      response.send(Http::Code::Bad_Request,
                    "the body must be a JSON object\n");
      return;
    }
    try {
      FakeServiceFaults faults;
      faults.delay = std::chrono::milliseconds(json.value("delay_ms", 0));
      faults.drop_answer = json.value("drop_answer", false);
      faults.refuse = json.value("refuse", false);
      faults.padding = json.value("padding", std::size_t{0});
      {
        std::lock_guard<std::mutex> lock(state_->mutex);
        state_->faults = faults;
      }
      response.send(Http::Code::Ok, "{}", MIME(Application, Json));
    } catch (const nlohmann::json::exception& e) {
      response.send(Http::Code::Bad_Request, e.what());
    }
  }

  std::string CountsJson() const {
    std::lock_guard<std::mutex> lock(state_->mutex);
    return nlohmann::json{{"total", state_->total},
                          {"reads", state_->reads},
                          {"by_key", state_->by_key}}
        .dump();
  }

  std::shared_ptr<State> state_;
};

FakeService::FakeService(std::uint16_t port, int threads)
    : state_(std::make_shared<State>()),
      endpoint_(std::make_unique<Http::Endpoint>(
          Pistache::Address("127.0.0.1", Pistache::Port(port)))) {
  endpoint_->init(Http::Endpoint::options()
                      .threads(threads)
                      .flags(Pistache::Tcp::Options::ReuseAddr |
                             Pistache::Tcp::Options::NoDelay)
                      .maxRequestSize(1U << 20U)
                      .maxResponseSize(16U << 20U)
                      .keepaliveTimeout(std::chrono::hours(24)));
  endpoint_->setHandler(std::make_shared<Handler>(state_));
  endpoint_->serveThreaded();
  address_ = "127.0.0.1:" + std::to_string(endpoint_->getPort());
}

FakeService::~FakeService() {
  endpoint_->shutdown();
}

void FakeService::SetFaults(const FakeServiceFaults& faults) {
  std::lock_guard<std::mutex> lock(state_->mutex);
  state_->faults = faults;
}

std::uint64_t FakeService::Executions(const std::string& key) const {
  std::lock_guard<std::mutex> lock(state_->mutex);
  const auto it = state_->by_key.find(key);
  return it == state_->by_key.end() ? 0 : it->second;
}

}  // namespace flamingogauge
