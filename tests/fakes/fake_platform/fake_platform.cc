#include "tests/fakes/fake_platform/fake_platform.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/net.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libs/kernel/random.h"
#include "libs/platform/object_table.h"
#include "libs/platform/thread_task_runner.h"
#include "plugins/platform/platform_protocol.h"

namespace flamingogauge {
namespace {

using Pistache::Http::Code;
using Writer = std::shared_ptr<Pistache::Http::ResponseWriter>;

constexpr std::size_t kMaxWaitingTasks = 65536;
constexpr std::size_t kMaxRequestBytes = 8U << 20U;
constexpr int kServerThreads = 2;
constexpr std::string_view kObjects = "/objects";
constexpr std::string_view kWatch = "/watch/";

struct Answer {
  Code code = Code::Ok;
  std::string body;
};

Answer ToAnswer(const Error& error) {
  switch (error.code) {
    case ErrorCode::kNotFound:
      return {.code = Code::Not_Found, .body = "{}"};
    case ErrorCode::kAlreadyExists:
    case ErrorCode::kVersionMismatch:
      return {.code = Code::Precondition_Failed, .body = "{}"};
    case ErrorCode::kInvalidArgument:
      return {.code = Code::Request_Entity_Too_Large, .body = "{}"};
    default:
      return {.code = Code::Internal_Server_Error, .body = "{}"};
  }
}

Answer ToAnswer(const Result<StoredObject>& result) {
  if (!result) {
    return ToAnswer(result.error());
  }
  return {.code = Code::Ok, .body = EncodeObject(result.value())};
}

// Pistache throws if the client has closed the connection; the response is then
// dropped.
void Send(const Writer& writer, const Answer& answer) {
  try {
    writer->send(answer.code, answer.body, MIME(Application, Json));
  } catch (const std::exception&) {
  }
}

void CloseConnection(const Writer& writer) {
  try {
    if (const auto peer = writer->getPeer()) {
      ::shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
    }
  } catch (const std::exception&) {
  }
}

std::uint64_t ToNumber(const std::optional<std::string>& text) {
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

std::optional<std::string> GetHeader(const Pistache::Http::Request& request,
                                     const std::string& name) {
  const auto raw = request.headers().tryGetRaw(name);
  if (!raw) {
    return std::nullopt;
  }
  return raw->value();
}

}  // namespace

class FakePlatform::Server : public std::enable_shared_from_this<Server> {
 public:
  explicit Server(std::uint64_t seed) : random_(seed) {}

  void Start();
  void Stop();
  void Handle(const Pistache::Http::Request& request, const Writer& writer);

  std::string Address() const;
  void SetFaults(FakePlatformFaults faults);
  void SetHosts(std::vector<ListedHost> hosts);
  void Load(const std::vector<StoredObject>& objects);
  std::uint64_t CallCount(const std::string& kind) const;

 private:
  struct Waiter {
    std::uint64_t id = 0;
    std::string key;
    std::uint64_t after_version = 0;
    Writer writer;
  };

  void HandleControl(const Pistache::Http::Request& request,
                     const Writer& writer);
  void HandleCall(const Pistache::Http::Request& request, const Writer& writer);
  void HandleChange(const std::string& kind,
                    const std::string& key,
                    const Pistache::Http::Request& request,
                    const Writer& writer);
  void HandleWatch(const std::string& key,
                   const Pistache::Http::Request& request,
                   const Writer& writer);
  Answer Change(const std::string& kind,
                const std::string& key,
                std::uint64_t version,
                const std::string& body);
  bool Count(const std::string& kind, const Writer& writer);
  void Reply(const Writer& writer, const Answer& answer);
  void NotifyWaiters(const std::string& key);
  void EndWatch(std::uint64_t id);
  bool ConsumeLostAnswer();
  std::string CallsJson() const;

  ThreadTaskRunner runner_{kMaxWaitingTasks};
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
  mutable std::mutex mutex_;
  ObjectTable table_;
  std::vector<ListedHost> hosts_;
  FakePlatformFaults faults_;
  Random random_;
  std::map<std::string, std::uint64_t> calls_;
  std::vector<Waiter> waiters_;
  std::uint64_t next_waiter_ = 1;
};

class FakePlatform::HttpHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(HttpHandler)

  explicit HttpHandler(std::shared_ptr<Server> server)
      : server_(std::move(server)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override {
    server_->Handle(request, std::make_shared<Pistache::Http::ResponseWriter>(
                                 std::move(response)));
  }

 private:
  std::shared_ptr<Server> server_;
};

void FakePlatform::Server::Start() {
  endpoint_ = std::make_unique<Pistache::Http::Endpoint>(
      Pistache::Address(Pistache::Ipv4::loopback(), Pistache::Port(0)));
  endpoint_->init(Pistache::Http::Endpoint::options()
                      .threads(kServerThreads)
                      .flags(Pistache::Tcp::Options::ReuseAddr)
                      .maxRequestSize(kMaxRequestBytes));
  endpoint_->setHandler(std::make_shared<HttpHandler>(shared_from_this()));
  endpoint_->serveThreaded();
}

void FakePlatform::Server::Stop() {
  // The task thread is stopped first, because it writes to the connections.
  runner_.Stop();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    waiters_.clear();
  }
  endpoint_->shutdown();
  endpoint_.reset();
}

std::string FakePlatform::Server::Address() const {
  return "127.0.0.1:" + endpoint_->getPort().toString();
}

void FakePlatform::Server::Handle(const Pistache::Http::Request& request,
                                  const Writer& writer) {
  const std::string& path = request.resource();
  if (path == "/fault" || path == "/calls") {
    HandleControl(request, writer);
  } else {
    HandleCall(request, writer);
  }
}

void FakePlatform::Server::HandleControl(const Pistache::Http::Request& request,
                                         const Writer& writer) {
  if (request.resource() == "/calls") {
    Send(writer, {.code = Code::Ok, .body = CallsJson()});
    return;
  }
  const auto json = nlohmann::json::parse(request.body(), nullptr, false);
  try {
    FakePlatformFaults faults;
    faults.outage = json.value("outage", faults.outage);
    faults.silent = json.value("silent", faults.silent);
    faults.delay = std::chrono::milliseconds(json.value("delay_ms", 0));
    faults.lost_answers = json.value("lost_answers", faults.lost_answers);
    faults.lost_answer_probability =
        json.value("lost_answer_probability", faults.lost_answer_probability);
    SetFaults(faults);
    Send(writer, {.code = Code::Ok, .body = "{}"});
  } catch (const nlohmann::json::exception& e) {
    Send(writer, {.code = Code::Bad_Request, .body = e.what()});
  }
}

void FakePlatform::Server::HandleCall(const Pistache::Http::Request& request,
                                      const Writer& writer) {
  const std::string& path = request.resource();
  const auto method = request.method();
  if (path == "/hosts" && method == Pistache::Http::Method::Put) {
    SetHosts(DecodeHosts(request.body()).value_or(std::vector<ListedHost>()));
    Send(writer, {.code = Code::Ok, .body = "{}"});
  } else if (path == "/hosts") {
    if (Count("hosts", writer)) {
      std::unique_lock<std::mutex> lock(mutex_);
      std::string body = EncodeHosts(hosts_);
      lock.unlock();
      Reply(writer, {.code = Code::Ok, .body = std::move(body)});
    }
  } else if (path == kObjects) {
    if (Count("list", writer)) {
      const std::string prefix =
          DecodeKey(request.query().get("prefix").value_or(""));
      std::unique_lock<std::mutex> lock(mutex_);
      std::string body = EncodeObjectList(table_.List(prefix));
      lock.unlock();
      Reply(writer, {.code = Code::Ok, .body = std::move(body)});
    }
  } else if (path.starts_with(kWatch)) {
    HandleWatch(DecodeKey(path.substr(kWatch.size())), request, writer);
  } else if (!path.starts_with(std::string(kObjects) + "/")) {
    Send(writer, {.code = Code::Not_Found, .body = "{}"});
  } else {
    const std::string key = DecodeKey(path.substr(kObjects.size() + 1));
    if (method == Pistache::Http::Method::Get) {
      if (Count("get", writer)) {
        std::unique_lock<std::mutex> lock(mutex_);
        const Answer answer = ToAnswer(table_.Get(key));
        lock.unlock();
        Reply(writer, answer);
      }
    } else {
      const bool is_create = GetHeader(request, "If-None-Match").has_value();
      const bool is_delete = method == Pistache::Http::Method::Delete;
      const char* kind = is_delete ? "delete" : "update";
      HandleChange(is_create ? "create" : kind, key, request, writer);
    }
  }
}

void FakePlatform::Server::HandleChange(const std::string& kind,
                                        const std::string& key,
                                        const Pistache::Http::Request& request,
                                        const Writer& writer) {
  if (!Count(kind, writer)) {
    return;
  }
  const std::uint64_t version = ToNumber(GetHeader(request, "If-Match"));
  const std::string& body = request.body();
  std::unique_lock<std::mutex> lock(mutex_);
  const auto delay_before_change = faults_.delay / 2;
  const bool lost = ConsumeLostAnswer();
  lock.unlock();
  const auto change = [this, self = shared_from_this(), kind, key, version,
                       body, writer, lost] {
    const Answer answer = Change(kind, key, version, body);
    NotifyWaiters(key);
    if (lost) {
      CloseConnection(writer);
    } else {
      Reply(writer, answer);
    }
  };
  if (!runner_.PostAfter(delay_before_change, change)) {
    Send(writer, {.code = Code::Service_Unavailable, .body = "{}"});
  }
}

Answer FakePlatform::Server::Change(const std::string& kind,
                                    const std::string& key,
                                    std::uint64_t version,
                                    const std::string& body) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (kind == "delete") {
    const Result<void> deleted = table_.Delete(key, version);
    return deleted ? Answer{.code = Code::Ok, .body = "{}"}
                   : ToAnswer(deleted.error());
  }
  std::optional<StoredObject> object = DecodeObject(body);
  if (!object) {
    return {.code = Code::Bad_Request, .body = "{}"};
  }
  if (kind == "create") {
    return ToAnswer(table_.Create(key, std::move(object->value)));
  }
  return ToAnswer(table_.Update(key, std::move(object->value), version));
}

void FakePlatform::Server::HandleWatch(const std::string& key,
                                       const Pistache::Http::Request& request,
                                       const Writer& writer) {
  if (!Count("watch", writer)) {
    return;
  }
  const std::chrono::milliseconds time_limit(
      ToNumber(request.query().get("time_limit_ms")));
  std::uint64_t id = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    id = next_waiter_++;
    waiters_.push_back({.id = id,
                        .key = key,
                        .after_version = ToNumber(request.query().get("after")),
                        .writer = writer});
  }
  if (!runner_.PostAfter(time_limit, [this, self = shared_from_this(), id] {
        EndWatch(id);
      })) {
    EndWatch(id);
  }
  NotifyWaiters(key);
}

// Counts the call. Returns false if an injected fault determines the response.
bool FakePlatform::Server::Count(const std::string& kind,
                                 const Writer& writer) {
  std::unique_lock<std::mutex> lock(mutex_);
  ++calls_[kind];
  if (faults_.silent) {
    return false;
  }
  const bool outage = faults_.outage;
  lock.unlock();
  if (outage) {
    Reply(writer, {.code = Code::Service_Unavailable, .body = "{}"});
  }
  return !outage;
}

void FakePlatform::Server::Reply(const Writer& writer, const Answer& answer) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto delay = faults_.delay;
  lock.unlock();
  if (delay == delay.zero() ||
      !runner_.PostAfter(delay, [writer, answer] { Send(writer, answer); })) {
    Send(writer, answer);
  }
}

void FakePlatform::Server::NotifyWaiters(const std::string& key) {
  std::vector<Writer> ready;
  std::unique_lock<std::mutex> lock(mutex_);
  if (faults_.outage || faults_.silent) {
    return;
  }
  const Result<StoredObject> object = table_.Get(key);
  std::erase_if(waiters_, [&](const Waiter& it) {
    if (it.key != key || !object ||
        object.value().version <= it.after_version) {
      return false;
    }
    ready.push_back(it.writer);
    return true;
  });
  lock.unlock();
  for (const Writer& it : ready) {
    Reply(it, ToAnswer(object));
  }
}

void FakePlatform::Server::EndWatch(std::uint64_t id) {
  Writer writer;
  std::unique_lock<std::mutex> lock(mutex_);
  const bool silent = faults_.silent;
  std::erase_if(waiters_, [&](const Waiter& it) {
    if (it.id == id) {
      writer = it.writer;
    }
    return it.id == id;
  });
  lock.unlock();
  if (writer && !silent) {
    Send(writer, {.code = Code::No_Content, .body = ""});
  }
}

bool FakePlatform::Server::ConsumeLostAnswer() {
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    return true;
  }
  return random_.NextBool(faults_.lost_answer_probability);
}

void FakePlatform::Server::SetFaults(FakePlatformFaults faults) {
  std::vector<Waiter> ended;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
    if (faults.outage) {
      ended.swap(waiters_);
    }
  }
  for (const Waiter& it : ended) {
    Send(it.writer, {.code = Code::Service_Unavailable, .body = "{}"});
  }
}

void FakePlatform::Server::SetHosts(std::vector<ListedHost> hosts) {
  std::lock_guard<std::mutex> lock(mutex_);
  hosts_ = std::move(hosts);
}

void FakePlatform::Server::Load(const std::vector<StoredObject>& objects) {
  for (const StoredObject& it : objects) {
    std::unique_lock<std::mutex> lock(mutex_);
    const Result<StoredObject> current = table_.Get(it.key);
    const Result<StoredObject> stored =
        current ? table_.Update(it.key, it.value, current.value().version)
                : table_.Create(it.key, it.value);
    lock.unlock();
    if (stored) {
      NotifyWaiters(it.key);
    }
  }
}

std::uint64_t FakePlatform::Server::CallCount(const std::string& kind) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = calls_.find(kind);
  return it == calls_.end() ? 0 : it->second;
}

std::string FakePlatform::Server::CallsJson() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return nlohmann::json(calls_).dump();
}

FakePlatform::FakePlatform(std::uint64_t seed)
    : server_(std::make_shared<Server>(seed)) {
  server_->Start();
}

FakePlatform::~FakePlatform() {
  server_->Stop();
}

std::string FakePlatform::address() const {
  return server_->Address();
}

void FakePlatform::SetFaults(FakePlatformFaults faults) {
  server_->SetFaults(faults);
}

void FakePlatform::SetHosts(std::vector<ListedHost> hosts) {
  server_->SetHosts(std::move(hosts));
}

void FakePlatform::Load(const std::vector<StoredObject>& objects) {
  server_->Load(objects);
}

std::uint64_t FakePlatform::CallCount(const std::string& kind) const {
  return server_->CallCount(kind);
}

}  // namespace flamingogauge
