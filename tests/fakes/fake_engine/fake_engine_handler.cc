#include "tests/fakes/fake_engine/fake_engine_handler.h"

#include <pistache/peer.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/fakes/fake_engine/not_executed_header.h"

namespace flamingogauge {
namespace {

namespace Http = Pistache::Http;

constexpr std::string_view kStreamsPrefix = "/v1/streams/";

// Writes chunks to a Pistache connection. Holds the peer by a weak pointer,
// because Pistache closes and destroys connections on its own threads.
class PeerSink : public FakeStreamSink {
 public:
  explicit PeerSink(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
      : peer_(peer) {}

  bool Send(std::string_view events) override { return Write(Frame(events)); }

  void Finish() override { Write(TakeHead() + "0\r\n\r\n"); }

  void CloseConnection() override { ShutDown(peer_); }

  void SendAndClose(std::string_view events) override {
    if (const auto peer = peer_.lock()) {
      const std::string bytes = Frame(events);
      const auto weak = peer_;
      peer->send(Pistache::RawBuffer(bytes, bytes.size()))
          .then([weak](ssize_t) { ShutDown(weak); },
                Pistache::Async::IgnoreException);
    }
  }

 private:
  static void ShutDown(const std::weak_ptr<Pistache::Tcp::Peer>& weak) {
    if (const auto peer = weak.lock()) {
      ::shutdown(peer->fd(), SHUT_RDWR);
    }
  }

  std::string Frame(std::string_view events) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
    std::string bytes = TakeHead() + size.data();
    return bytes.append(events).append("\r\n");
  }

  // Returns the response head on the first call, so that it is sent in the same
  // write as the first bytes of the body.
  std::string TakeHead() {
    if (head_sent_) {
      return "";
    }
    head_sent_ = true;
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  bool Write(const std::string& bytes) {
    const auto peer = peer_.lock();
    if (!peer) {
      return false;
    }
    peer->send(Pistache::RawBuffer(bytes, bytes.size()));
    return true;
  }

  std::weak_ptr<Pistache::Tcp::Peer> peer_;
  bool head_sent_ = false;
};

std::string QueryValue(const Http::Request& request, const std::string& name) {
  const auto value = request.query().get(name);
  return value ? *value : "";
}

void SendJson(Http::ResponseWriter& response, const std::string& body) {
  response.send(Http::Code::Ok, body, MIME(Application, Json));
}

void Refuse(Http::ResponseWriter& response) {
  response.headers().add<NotExecutedHeader>();
  response.send(Http::Code::Service_Unavailable,
                R"({"error":{"message":"the engine is full"}})");
}

}  // namespace

void FakeEngineHandler::onRequest(const Http::Request& request,
                                  Http::ResponseWriter response) {
  const std::string& path = request.resource();
  if (path == "/v1/chat/completions") {
    HandleChat(request, response);
  } else if (path.compare(0, kStreamsPrefix.size(), kStreamsPrefix) == 0) {
    HandleStream(request, response);
  } else if (path == "/load") {
    SendJson(response, state_->LoadJson());
  } else if (path == "/cache/events") {
    SendJson(response, state_->CacheEventsJson(std::strtoull(
                           QueryValue(request, "after").c_str(), nullptr, 10)));
  } else if (path == "/executions") {
    SendJson(response, state_->ExecutionsJson());
  } else if (path == "/models") {
    SendJson(response, models_->Json());
  } else if (path == "/orders") {
    HandleOrder(request, response);
  } else if (path == "/fault") {
    HandleFault(request, response);
  } else {
    response.send(Http::Code::Not_Found, "no such path\n");
  }
}

void FakeEngineHandler::HandleChat(const Http::Request& request,
                                   Http::ResponseWriter& response) {
  const auto id = request.headers().tryGetRaw("X-Request-Id");
  const auto admission = state_->Admit(request.body());
  if (!id || admission == FakeEngineState::Admission::kInvalid) {
    response.send(Http::Code::Bad_Request,
                  "not a chat completion with an id\n");
  } else if (admission == FakeEngineState::Admission::kCrash) {
    crash_();
  } else if (admission == FakeEngineState::Admission::kRefused) {
    Refuse(response);
  } else {
    state_->Execute(id->value(), request.body(),
                    std::make_shared<PeerSink>(response.getPeer()));
  }
}

void FakeEngineHandler::HandleStream(const Http::Request& request,
                                     Http::ResponseWriter& response) {
  const std::string id = request.resource().substr(kStreamsPrefix.size());
  if (request.method() == Http::Method::Delete) {
    const bool known = state_->Cancel(id);
    response.send(known ? Http::Code::Ok : Http::Code::Not_Found, "{}");
    return;
  }
  const std::size_t offset =
      std::strtoull(QueryValue(request, "offset").c_str(), nullptr, 10);
  if (!state_->Resume(id, offset,
                      std::make_shared<PeerSink>(response.getPeer()))) {
    response.send(Http::Code::Not_Found, "no such stream\n");
  }
}

void FakeEngineHandler::HandleOrder(const Http::Request& request,
                                    Http::ResponseWriter& response) {
  switch (models_->ApplyOrder(request.body())) {
    case FakeEngineModels::Result::kDone:
      SendJson(response, "{}");
      break;
    case FakeEngineModels::Result::kStaleFencingNumber:
      response.send(Http::Code::Conflict, "an old fencing number\n");
      break;
    case FakeEngineModels::Result::kInvalid:
      response.send(Http::Code::Bad_Request, "not an order\n");
      break;
  }
}

void FakeEngineHandler::HandleFault(const Http::Request& request,
                                    Http::ResponseWriter& response) {
  const auto json = nlohmann::json::parse(request.body(), nullptr, false);
  if (!json.is_object()) {
    response.send(Http::Code::Bad_Request, "the body must be a JSON object\n");
    return;
  }
  try {
    FakeEngineFaults faults;
    faults.refuse = json.value("refuse", false);
    faults.crash_on = json.value("crash_on", "");
    faults.slowdown = json.value("slowdown", 1.0);
    faults.hang_up_after = json.value("hang_up_after", std::size_t{0});
    faults.omit_done = json.value("omit_done", false);
    const bool silence = json.value("silence_open_streams", false);
    state_->SetFaults(faults);
    if (silence) {
      state_->SilenceOpenStreams();
    }
    SendJson(response, "{}");
  } catch (const nlohmann::json::exception& e) {
    response.send(Http::Code::Bad_Request, e.what());
  }
}

}  // namespace flamingogauge
