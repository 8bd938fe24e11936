#include "tests/fakes/fake_object_store/fake_object_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "plugins/gateway/http_acceptor.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/flamingogauge/objects/";

struct StoredSpec {
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  std::string spec;
  std::string status = "null";
};

struct StoreEvent {
  std::uint64_t revision = 0;
  std::string kind;
  std::string object;
  bool removed = false;
};

// The parsed path and query of a call.
struct StoreCall {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;

  std::uint64_t Number(const std::string& key) const {
    const auto it = query.find(key);
    return it == query.end() ? 0 : std::stoull(it->second);
  }
};

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(it + 1, 2), nullptr, 16));
      it += 2;
    } else {
      decoded += text[it];
    }
  }
  return decoded;
}

StoreCall ParseCall(const std::string& target) {
  StoreCall call;
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path =
      target.substr(0, mark).substr(std::min(kObjectsPath.size(), mark));
  const std::size_t slash = path.find('/');
  call.kind = path.substr(0, slash);
  call.name =
      slash == std::string::npos ? "" : PercentDecode(path.substr(slash + 1));
  std::string query = mark < target.size() ? target.substr(mark + 1) : "";
  while (!query.empty()) {
    const std::string pair = query.substr(0, query.find('&'));
    query.erase(0, std::min(query.size(), pair.size() + 1));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    call.query[pair.substr(0, equals)] =
        equals < pair.size() ? PercentDecode(pair.substr(equals + 1)) : "";
  }
  return call;
}

std::string FormatObject(const std::string& name, const StoredSpec& object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.revision) + R"(,"createRevision":)" +
         std::to_string(object.created) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec +
         R"(,"status":)" + object.status + "}";
}

std::string FormatAnswer(int status,
                         const std::string& body,
                         std::uint64_t era) {
  const std::string era_field =
      era == 0 ? "" : "Store-Era: " + std::to_string(era) + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + era_field +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

class FakeObjectStore::Server : public HttpRequestHandler {
 public:
  explicit Server(FakeObjectStoreOptions options)
      : options_(options), acceptor_(io_, *this) {}

  void Start();
  void Stop();
  // Runs a function on the server's thread, waits for it and returns its
  // result.
  template <typename Function>
  auto Run(Function function) {
    std::promise<decltype(function())> promise;
    boost::asio::post(io_, [&] {
      if constexpr (std::is_void_v<decltype(function())>) {
        function();
        promise.set_value();
      } else {
        promise.set_value(function());
      }
    });
    return promise.get_future().get();
  }

  std::uint64_t Put(const std::string& kind,
                    const std::string& name,
                    const std::string& spec);
  bool Remove(const std::string& kind, const std::string& name);
  void Compact();
  void TakeCopy();
  void RestoreCopy();
  const StoredSpec* Find(const std::string& kind,
                         const std::string& name) const;

  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 ParsedRequest request,
                 MonotonicTime arrived_at) override;
  CallerLimits Limits() const override { return {}; }
  void OnRefused(int /*status*/, const std::string& /*reason*/) override {}

  std::string address;
  StoreFault fault = StoreFault::kNone;
  std::uint64_t revision = 1;
  // 0 if responses do not state it.
  std::uint64_t era = 0;
  std::uint64_t calls = 0;

 private:
  struct Waiter {
    std::uint64_t id = 0;
    std::string kind;
    std::uint64_t after = 0;
    std::shared_ptr<HttpSession> session;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Answer(const std::shared_ptr<HttpSession>& session,
              int status,
              const std::string& body);
  void List(const std::shared_ptr<HttpSession>& session, const StoreCall& call);
  void Watch(const std::shared_ptr<HttpSession>& session,
             const StoreCall& call);
  void Change(const std::shared_ptr<HttpSession>& session,
              const ParsedRequest& request,
              const StoreCall& call);
  void ChangeStatus(const std::shared_ptr<HttpSession>& session,
                    const json& body,
                    const StoreCall& call);
  std::string EventsAfter(const std::string& kind,
                          std::uint64_t after,
                          bool& any) const;
  void NotifyWaiters(const std::string& kind);

  const FakeObjectStoreOptions options_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_ = boost::asio::make_work_guard(io_);
  HttpAcceptor acceptor_;
  // By kind and name.
  using Objects = std::map<std::string, std::map<std::string, StoredSpec>>;
  struct Copy {
    Objects kinds;
    std::uint64_t revision = 1;
  };

  void AbortWaiters();

  Objects kinds_;
  Copy copy_;
  std::vector<StoreEvent> events_;
  std::uint64_t history_start_revision_ = 0;
  std::list<Waiter> waiters_;
  std::uint64_t next_waiter_ = 1;
  std::thread thread_;
};

void FakeObjectStore::Server::Start() {
  const Result<void> listening = acceptor_.Listen("127.0.0.1:0");
  if (!listening) {
    throw std::runtime_error(ToString(listening.error()));
  }
  address = acceptor_.address();
  thread_ = std::thread([this] { io_.run(); });
}

void FakeObjectStore::Server::Stop() {
  io_.stop();
  thread_.join();
}

void FakeObjectStore::Server::Answer(
    const std::shared_ptr<HttpSession>& session,
    int status,
    const std::string& body) {
  if (fault == StoreFault::kLosesAnswers) {
    session->Abort();
    return;
  }
  session->Write(FormatAnswer(status, body, era));
  session->Finish(true);
}

void FakeObjectStore::Server::OnRequest(
    const std::shared_ptr<HttpSession>& session,
    ParsedRequest request,
    MonotonicTime /*arrived_at*/) {
  ++calls;
  if (fault == StoreFault::kSilent) {
    return;
  }
  if (fault == StoreFault::kUnavailable || fault == StoreFault::kTooManyCalls) {
    Answer(session, fault == StoreFault::kUnavailable ? 503 : 429, "{}");
    return;
  }
  const StoreCall call = ParseCall(request.target);
  if (request.method != "GET") {
    Change(session, request, call);
  } else if (call.query.contains("watch")) {
    Watch(session, call);
  } else {
    List(session, call);
  }
}

void FakeObjectStore::Server::List(const std::shared_ptr<HttpSession>& session,
                                   const StoreCall& call) {
  const auto& objects = kinds_[call.kind];
  const auto after = call.query.find("after");
  auto it = after == call.query.end() || after->second.empty()
                ? objects.begin()
                : objects.upper_bound(after->second);
  std::string items;
  for (std::size_t n = 0; it != objects.end() && n < options_.page_size;
       ++it, ++n) {
    items += (n == 0 ? "" : ",") + FormatObject(it->first, it->second);
  }
  Answer(session, 200,
         R"({"items":[)" + items + R"(],"hasMore":)" +
             (it == objects.end() ? "false" : "true") + R"(,"storeRevision":)" +
             std::to_string(revision) + "}");
}

std::string FakeObjectStore::Server::EventsAfter(const std::string& kind,
                                                 std::uint64_t after,
                                                 bool& any) const {
  std::string events;
  for (const StoreEvent& it : events_) {
    if (it.kind == kind && it.revision > after) {
      events += std::string(events.empty() ? "" : ",") + R"({"removed":)" +
                (it.removed ? "true" : "false") + R"(,"object":)" + it.object +
                "}";
    }
  }
  any = !events.empty();
  return R"({"events":[)" + events + R"(],"storeRevision":)" +
         std::to_string(revision) + "}";
}

void FakeObjectStore::Server::Watch(const std::shared_ptr<HttpSession>& session,
                                    const StoreCall& call) {
  const std::uint64_t after = call.Number("watch");
  // The second case: a revision of an earlier era that is not given out yet.
  if (after < history_start_revision_ || after > revision) {
    Answer(session, 410, "{}");
    return;
  }
  bool any = false;
  const std::string events = EventsAfter(call.kind, after, any);
  if (any) {
    Answer(session, 200, events);
    return;
  }
  auto timer = std::make_unique<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(call.Number("waitMs")));
  const std::uint64_t id = next_waiter_++;
  // A timer that has expired can no longer be cancelled, so that its handler
  // may run after the waiter was removed.
  timer->async_wait([this, id](const boost::system::error_code& ec) {
    const auto waiter =
        std::find_if(waiters_.begin(), waiters_.end(),
                     [id](const Waiter& it) { return it.id == id; });
    if (!ec && waiter != waiters_.end()) {
      bool none = false;
      Answer(waiter->session, 200,
             EventsAfter(waiter->kind, waiter->after, none));
      waiters_.erase(waiter);
    }
  });
  waiters_.push_back({.id = id,
                      .kind = call.kind,
                      .after = after,
                      .session = session,
                      .timer = std::move(timer)});
}

void FakeObjectStore::Server::NotifyWaiters(const std::string& kind) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    bool any = false;
    const std::string events = EventsAfter(it->kind, it->after, any);
    if (it->kind == kind && any) {
      Answer(it->session, 200, events);
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
}

std::uint64_t FakeObjectStore::Server::Put(const std::string& kind,
                                           const std::string& name,
                                           const std::string& spec) {
  StoredSpec& object = kinds_[kind][name];
  if (object.revision != 0 && object.spec == spec) {
    return object.revision;
  }
  object.revision = ++revision;
  object.created = object.created == 0 ? revision : object.created;
  object.spec = spec;
  events_.push_back({.revision = revision,
                     .kind = kind,
                     .object = FormatObject(name, object)});
  NotifyWaiters(kind);
  return revision;
}

bool FakeObjectStore::Server::Remove(const std::string& kind,
                                     const std::string& name) {
  const auto it = kinds_[kind].find(name);
  if (it == kinds_[kind].end()) {
    return false;
  }
  events_.push_back({.revision = ++revision,
                     .kind = kind,
                     .object = FormatObject(name, it->second),
                     .removed = true});
  kinds_[kind].erase(it);
  NotifyWaiters(kind);
  return true;
}

void FakeObjectStore::Server::Compact() {
  events_.clear();
  history_start_revision_ = ++revision;
  AbortWaiters();
}

void FakeObjectStore::Server::TakeCopy() {
  copy_ = {.kinds = kinds_, .revision = revision};
}

void FakeObjectStore::Server::RestoreCopy() {
  kinds_ = copy_.kinds;
  revision = copy_.revision;
  history_start_revision_ = revision;
  events_.clear();
  ++era;
  AbortWaiters();
}

void FakeObjectStore::Server::AbortWaiters() {
  for (const Waiter& it : waiters_) {
    it.session->Abort();
  }
  waiters_.clear();
}

const StoredSpec* FakeObjectStore::Server::Find(const std::string& kind,
                                                const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) {
    return nullptr;
  }
  const auto it = objects->second.find(name);
  return it == objects->second.end() ? nullptr : &it->second;
}

void FakeObjectStore::Server::Change(
    const std::shared_ptr<HttpSession>& session,
    const ParsedRequest& request,
    const StoreCall& call) {
  if (request.method == "DELETE") {
    Answer(session, Remove(call.kind, call.name) ? 200 : 404, "{}");
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded() ||
      !(body.contains("spec") || body.contains("status"))) {
    Answer(session, 400, "{}");
    return;
  }
  constexpr std::string_view kStatusPart = "/status";
  if (call.name.ends_with(kStatusPart)) {
    ChangeStatus(
        session, body,
        {.kind = call.kind,
         .name = call.name.substr(0, call.name.size() - kStatusPart.size())});
    return;
  }
  const bool creates = request.method == "POST";
  const std::string name =
      creates ? body["metadata"].value("name", "") : call.name;
  const StoredSpec* known = Find(call.kind, name);
  if (creates != (known == nullptr)) {
    Answer(session, creates ? 409 : 404, "{}");
    return;
  }
  const std::uint64_t expected = body["metadata"].value("revision", 0U);
  if (known != nullptr && expected != 0 && expected != known->revision) {
    Answer(session, 409, FormatObject(name, *known));
    return;
  }
  Put(call.kind, name, body["spec"].dump());
  Answer(session, creates ? 201 : 200,
         FormatObject(name, *Find(call.kind, name)));
}

void FakeObjectStore::Server::ChangeStatus(
    const std::shared_ptr<HttpSession>& session,
    const json& body,
    const StoreCall& call) {
  const StoredSpec* known = Find(call.kind, call.name);
  if (known == nullptr) {
    Answer(session, 404, "{}");
    return;
  }
  const std::uint64_t expected = body["metadata"].value("revision", 0U);
  if (expected != 0 && expected != known->revision) {
    Answer(session, 409, FormatObject(call.name, *known));
    return;
  }
  StoredSpec& object = kinds_[call.kind][call.name];
  object.revision = ++revision;
  object.status = body["status"].dump();
  events_.push_back({.revision = revision,
                     .kind = call.kind,
                     .object = FormatObject(call.name, object)});
  NotifyWaiters(call.kind);
  Answer(session, 200, FormatObject(call.name, object));
}

FakeObjectStore::FakeObjectStore(FakeObjectStoreOptions options)
    : server_(std::make_unique<Server>(options)) {
  server_->Start();
}

FakeObjectStore::~FakeObjectStore() {
  server_->Stop();
}

const std::string& FakeObjectStore::address() const {
  return server_->address;
}

void FakeObjectStore::SetFault(StoreFault fault) {
  server_->Run([this, fault] { server_->fault = fault; });
}

void FakeObjectStore::Put(const std::string& kind,
                          const std::string& name,
                          const std::string& spec) {
  server_->Run([&] { server_->Put(kind, name, spec); });
}

void FakeObjectStore::Remove(const std::string& kind, const std::string& name) {
  server_->Run([&] { server_->Remove(kind, name); });
}

void FakeObjectStore::Compact() {
  server_->Run([this] { server_->Compact(); });
}

void FakeObjectStore::SetStatesEra(bool states_era) {
  server_->Run([this, states_era] { server_->era = states_era ? 1 : 0; });
}

void FakeObjectStore::TakeCopy() {
  server_->Run([this] { server_->TakeCopy(); });
}

void FakeObjectStore::RestoreCopy() {
  server_->Run([this] { server_->RestoreCopy(); });
}

std::string FakeObjectStore::Spec(const std::string& kind,
                                  const std::string& name) const {
  return server_->Run([&] {
    const StoredSpec* object = server_->Find(kind, name);
    return object == nullptr ? std::string() : object->spec;
  });
}

std::string FakeObjectStore::Status(const std::string& kind,
                                    const std::string& name) const {
  return server_->Run([&] {
    const StoredSpec* object = server_->Find(kind, name);
    return object == nullptr ? std::string() : object->status;
  });
}

std::uint64_t FakeObjectStore::revision() const {
  return server_->Run([this] { return server_->revision; });
}

std::uint64_t FakeObjectStore::call_count() const {
  return server_->Run([this] { return server_->calls; });
}

}  // namespace flamingogauge
