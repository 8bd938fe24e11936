#include "libs/http_server/http_server.h"

#include <arpa/inet.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/http_server/http_connection.h"

namespace flamingogauge {
namespace {

namespace Http = Pistache::Http;

constexpr char kConnectionData[] = "flamingogauge.connection";
constexpr std::chrono::milliseconds kCheckInterval{250};
constexpr std::chrono::milliseconds kDrainInterval{10};
// Pistache measures its timeouts from the last request, not from the last
// response, and would interrupt long streams; HttpConnection::Check replaces
// them.
constexpr std::chrono::hours kTimeoutDisabled{24 * 365};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return text;
}

HttpRequest Convert(const Http::Request& request) {
  HttpRequest converted{.method = Http::methodString(request.method()),
                        .path = request.resource(),
                        .body = request.body()};
  const std::string query = request.query().as_str();
  converted.query = query.empty() ? query : query.substr(1);
  for (const auto& [name, header] : request.headers().rawList()) {
    converted.headers[LowerCase(header.name())] = header.value();
  }
  return converted;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

// State of one Pistache connection. It is owned by the server and not by
// Pistache, which may destroy its objects on any of its threads.
struct ConnectionData {
  ConnectionData(const Pistache::Tcp::Peer& peer,
                 WritePoller* poller,
                 HeldMemory* held,
                 std::function<void()> relieve,
                 const HttpServerSettings& settings)
      : connection(std::make_shared<HttpConnection>(peer.fd(),
                                                    peer.getID(),
                                                    poller,
                                                    held,
                                                    std::move(relieve),
                                                    settings)),
        parser(settings.max_request_bytes) {}

  // Prepares for the next request. To be called with the lock on the parser.
  void ResetParser() {
    // The parser's own reset keeps the memory of the body.
    { const Http::Request old = std::move(parser.request); }
    parser.reset();
  }

  // Frees what has been received of a request, unless a thread is just parsing
  // it, which then does so itself.
  void FreeInput() {
    std::unique_lock<std::mutex> lock(parser_mutex, std::try_to_lock);
    if (lock.owns_lock()) {
      ResetParser();
    }
  }

  const std::shared_ptr<HttpConnection> connection;
  std::mutex parser_mutex;
  Http::RequestParser parser;
  HttpHeadScanner scanner;
  bool continue_sent = false;
};

class HttpServer::Impl {
 public:
  Impl(HttpServerSettings settings, Handler handler, ErrorFormat error_format)
      : settings_(std::move(settings)),
        handler_(std::move(handler)),
        error_format_(std::move(error_format)),
        held_(settings_.max_held_bytes) {}

  Result<void> Start();
  void Drain(std::function<void()> done);
  void Stop();
  void Run();
  void OnWritable(std::uint64_t id);
  void CheckConnections(MonotonicTime now);
  std::vector<std::shared_ptr<HttpConnection>> Connections() const;

  ConnectionData* Add(const std::shared_ptr<Pistache::Tcp::Peer>& peer);
  void Remove(const std::shared_ptr<Pistache::Tcp::Peer>& peer);
  void ReleaseDisconnectedPeers();
  // Closes connections until what is held is within the bound.
  void RelieveMemory();
  // Closes connections if as many are open as are allowed. Returns false if all
  // are occupied with requests.
  bool MakeRoomLocked();
  void Handle(const Http::Request& request, ConnectionData& data);
  void Reject(ConnectionData& data, int status, const std::string& text);

  const HttpServerSettings& settings() const { return settings_; }
  std::string ListeningAddress() const;
  HttpServerCounts Counts() const;

 private:
  class PistacheHandler;

  const HttpServerSettings settings_;
  const Handler handler_;
  const ErrorFormat error_format_;
  std::unique_ptr<Http::Endpoint> endpoint_;
  std::uint16_t port_ = 0;
  // Destroyed after the connections, which use it.
  HeldMemory held_;
  mutable std::mutex mutex_;
  WritePoller poller_;
  bool stopping_ = false;
  std::unordered_map<std::size_t, std::shared_ptr<ConnectionData>> connections_;
  // Peers whose connection has ended. Pistache's accepting thread may still
  // reference them; they are kept until no other reference exists, so that they
  // are destroyed on this object's thread and after the worker's last use.
  std::vector<std::shared_ptr<Pistache::Tcp::Peer>> disconnected_peers_;
  HttpServerCounts counts_;
  std::function<void()> on_drained_;
  std::thread thread_;
};

// Replaces Pistache's request handling, which sends its own responses in cases
// where the response must have the format of `error_format`.
class HttpServer::Impl::PistacheHandler : public Http::Handler {
 public:
  HTTP_PROTOTYPE(PistacheHandler)

  explicit PistacheHandler(Impl* server) : server_(server) {}

  void onRequest(const Http::Request& /*request*/,
                 Http::ResponseWriter /*response*/) override {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    // The aliasing constructor creates pointers without ownership.
    const std::shared_ptr<void> none;
    ConnectionData* data = server_->Add(peer);
    peer->putData(kConnectionData, std::shared_ptr<void>(none, data));
    peer->putData(ParserData, std::shared_ptr<void>(none, &data->parser));
  }

  void onDisconnection(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    auto* data =
        static_cast<ConnectionData*>(peer->tryGetData(kConnectionData).get());
    if (data == nullptr) {
      return;
    }
    const std::function<void()> on_gone = data->connection->MarkGone();
    server_->Remove(peer);
    if (on_gone) {
      on_gone();
    }
  }

  void onInput(const char* buffer,
               std::size_t len,
               const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    auto* data =
        static_cast<ConnectionData*>(peer->getData(kConnectionData).get());
    if (data->connection->IsClosing()) {
      return;
    }
    if (data->connection->HasExchange()) {
      // A further request arrived before the end of the response. It is
      // discarded; the connection is closed after the response, and the caller
      // sends the request again.
      data->connection->CloseAfterAnswer();
      return;
    }
    Parse(*data, std::string_view(buffer, len));
  }

 private:
  void Parse(ConnectionData& data, std::string_view bytes) {
    data.scanner.Feed(bytes);
    data.connection->NoteInput(data.scanner.head_complete(),
                               std::chrono::steady_clock::now());
    // Pistache keeps the bytes and a copy of the body.
    data.connection->SetHeldInput(2 * data.scanner.received_bytes());
    server_->RelieveMemory();
    const std::lock_guard<std::mutex> lock(data.parser_mutex);
    Http::RequestParser& parser = data.parser;
    if (data.connection->IsClosing()) {
      data.ResetParser();
      return;
    }
    try {
      if (!parser.feed(bytes.data(), bytes.size())) {
        server_->Reject(
            data, 413,
            "the request exceeds " +
                std::to_string(server_->settings().max_request_bytes) +
                " bytes");
        return;
      }
      if (parser.parse() == Http::Private::State::Done) {
        server_->Handle(parser.request, data);
        data.ResetParser();
        data.scanner.Reset();
        data.connection->SetHeldInput(0);
        data.continue_sent = false;
      } else if (data.scanner.head_complete() &&
                 parser.step()->id() == Http::Private::RequestLineStep::Id) {
        // Pistache would wait for the rest of a request line without spaces.
        server_->Reject(data, 400, "the request line is not valid");
      } else if (data.scanner.head_complete() && !data.continue_sent &&
                 parser.request.headers().tryGetRaw("Expect").has_value()) {
        data.continue_sent = true;
        data.connection->WriteInterim("HTTP/1.1 100 Continue\r\n\r\n");
      }
    } catch (const Http::HttpError& error) {
      server_->Reject(data, error.code(), error.reason());
    } catch (const std::exception& error) {
      server_->Reject(data, 400, error.what());
    }
  }

  Impl* const server_;
};

Result<void> HttpServer::Impl::Start() {
  if (!poller_.IsOpen()) {
    return Error{.code = ErrorCode::kResourceExhausted,
                 .step = "listen",
                 .peer = settings_.address,
                 .message = "out of file descriptors"};
  }
  try {
    endpoint_ =
        std::make_unique<Http::Endpoint>(Pistache::Address(settings_.address));
    endpoint_->init(Http::Endpoint::options()
                        .threads(settings_.threads)
                        .flags(Pistache::Flags<Pistache::Tcp::Options>(
                                   Pistache::Tcp::Options::ReuseAddr) |
                               Pistache::Tcp::Options::NoDelay |
                               Pistache::Tcp::Options::CloseOnExec)
                        .maxRequestSize(settings_.max_request_bytes)
                        .headerTimeout(kTimeoutDisabled)
                        .bodyTimeout(kTimeoutDisabled)
                        .keepaliveTimeout(kTimeoutDisabled));
    endpoint_->setHandler(std::make_shared<PistacheHandler>(this));
    endpoint_->serveThreaded();
    port_ = static_cast<std::uint16_t>(endpoint_->getPort());
  } catch (const std::exception& error) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "listen",
                 .peer = settings_.address,
                 .message = error.what()};
  }
  thread_ = std::thread([this] { Run(); });
  return boost::outcome_v2::success();
}

void HttpServer::Impl::Drain(std::function<void()> done) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, it] : connections_) {
    it->connection->CloseAfterAnswer();
  }
  on_drained_ = std::move(done);
  poller_.Wake();
}

void HttpServer::Impl::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (std::exchange(stopping_, true)) {
      return;
    }
  }
  poller_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
  for (const auto& it : Connections()) {
    const std::function<void()> on_gone = it->MarkGone();
    if (on_gone) {
      on_gone();
    }
  }
  if (endpoint_) {
    endpoint_->shutdown();
    endpoint_.reset();
  }
}

void HttpServer::Impl::Run() {
  auto next_check = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const auto interval = on_drained_ ? kDrainInterval : kCheckInterval;
    lock.unlock();
    for (const std::uint64_t it : poller_.Wait(interval)) {
      OnWritable(it);
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= next_check) {
      CheckConnections(now);
      ReleaseDisconnectedPeers();
      next_check = now + interval;
    }
    lock.lock();
  }
}

void HttpServer::Impl::OnWritable(std::uint64_t id) {
  std::shared_ptr<HttpConnection> connection;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      connection = found->second->connection;
    }
  }
  if (connection) {
    connection->OnWritable();
  }
}

std::vector<std::shared_ptr<HttpConnection>> HttpServer::Impl::Connections()
    const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::shared_ptr<HttpConnection>> connections;
  connections.reserve(connections_.size());
  for (const auto& [id, it] : connections_) {
    connections.push_back(it->connection);
  }
  return connections;
}

void HttpServer::Impl::CheckConnections(MonotonicTime now) {
  std::uint64_t slow = 0;
  std::uint64_t timed_out = 0;
  bool busy = false;
  for (const auto& it : Connections()) {
    const ConnectionCheckResult result = it->Check(now);
    slow += result == ConnectionCheckResult::kSlowReader ? 1 : 0;
    timed_out += result == ConnectionCheckResult::kTimedOut ? 1 : 0;
    busy = busy || it->IsBusy();
  }
  std::function<void()> on_drained;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    counts_.dropped_slow_readers += slow;
    counts_.timed_out += timed_out;
    if (!busy) {
      on_drained = std::exchange(on_drained_, nullptr);
    }
  }
  if (on_drained) {
    on_drained();
  }
}

ConnectionData* HttpServer::Impl::Add(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
  auto owned = std::make_shared<ConnectionData>(
      *peer, &poller_, &held_, [this] { RelieveMemory(); }, settings_);
  ConnectionData* data = owned.get();
  bool accepted = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    accepted = !stopping_ && data->connection->IsOpen() && MakeRoomLocked();
    connections_[peer->getID()] = owned;
    counts_.rejected += accepted ? 0 : 1;
  }
  if (!accepted) {
    data->connection->Abort();
    ::shutdown(peer->fd(), SHUT_RDWR);
  }
  return data;
}

bool HttpServer::Impl::MakeRoomLocked() {
  if (connections_.size() < settings_.max_connections) {
    return true;
  }
  // Those that are being closed are on the list until Pistache has done so.
  std::vector<ConnectionActivity> activities;
  for (const auto& [id, it] : connections_) {
    if (!it->connection->IsDropped()) {
      activities.push_back(it->connection->Activity());
    }
  }
  if (activities.size() < settings_.max_connections) {
    return true;
  }
  const std::vector<std::uint64_t> chosen =
      ChooseConnectionsToClose(std::move(activities));
  for (const std::uint64_t id : chosen) {
    connections_.at(id)->connection->Abort();
  }
  counts_.closed_for_room += chosen.size();
  return !chosen.empty();
}

void HttpServer::Impl::RelieveMemory() {
  const std::vector<std::uint64_t> chosen = held_.TakeToClose();
  if (chosen.empty()) {
    return;
  }
  std::vector<std::shared_ptr<ConnectionData>> connections;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    counts_.closed_for_memory += chosen.size();
    for (const std::uint64_t id : chosen) {
      const auto found = connections_.find(id);
      if (found != connections_.end()) {
        connections.push_back(found->second);
      }
    }
  }
  for (const auto& it : connections) {
    it->connection->Abort();
    it->FreeInput();
  }
}

void HttpServer::Impl::Remove(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
  std::shared_ptr<ConnectionData> removed;
  std::lock_guard<std::mutex> lock(mutex_);
  disconnected_peers_.push_back(peer);
  const auto found = connections_.find(peer->getID());
  if (found != connections_.end()) {
    removed = std::move(found->second);
    connections_.erase(found);
  }
}

void HttpServer::Impl::ReleaseDisconnectedPeers() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(disconnected_peers_,
                [](const auto& it) { return it.use_count() == 1; });
}

void HttpServer::Impl::Handle(const Http::Request& request,
                              ConnectionData& data) {
  HttpRequest converted = Convert(request);
  const bool has_length = converted.headers.count("transfer-encoding") == 0;
  const bool pipelined =
      has_length && data.scanner.received_bytes() >
                        data.scanner.head_bytes() + converted.body.size();
  const bool is_http11 = request.version() == Http::Version::Http11;
  const bool closes = pipelined || !is_http11 ||
                      LowerCase(converted.Header("connection")).find("close") !=
                          std::string::npos;
  const std::uint64_t number = data.connection->StartExchange(closes);
  data.connection->SetHeldRequest(converted.body.size());
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.requests;
  }
  handler_(std::move(converted),
           std::make_shared<HttpExchange>(data.connection, number, is_http11));
}

void HttpServer::Impl::Reject(ConnectionData& data,
                              int status,
                              const std::string& text) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.rejected;
  }
  const std::uint64_t number = data.connection->StartExchange(true);
  const ErrorAnswer answer = error_format_(status, text);
  HttpExchange(data.connection, number, true)
      .SendWhole(status, answer.headers, answer.content_type, answer.body);
}

std::string HttpServer::Impl::ListeningAddress() const {
  const std::size_t colon = settings_.address.rfind(':');
  return settings_.address.substr(0, colon) + ":" + std::to_string(port_);
}

HttpServerCounts HttpServer::Impl::Counts() const {
  std::lock_guard<std::mutex> lock(mutex_);
  HttpServerCounts counts = counts_;
  counts.connections = connections_.size();
  counts.held_bytes = held_.total();
  return counts;
}

HttpServer::HttpServer(HttpServerSettings settings,
                       Handler handler,
                       ErrorFormat error_format)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(handler),
                                   std::move(error_format))) {}

HttpServer::~HttpServer() {
  Stop();
}

Result<void> HttpServer::Start() {
  return impl_->Start();
}

void HttpServer::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

void HttpServer::Stop() {
  impl_->Stop();
}

std::string HttpServer::ListeningAddress() const {
  return impl_->ListeningAddress();
}

HttpServerCounts HttpServer::Counts() const {
  return impl_->Counts();
}

Result<void> CheckListenAddress(const std::string& flag,
                                const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const std::string port =
      colon == std::string::npos ? "" : address.substr(colon + 1);
  in_addr parsed{};
  const bool valid =
      !port.empty() && port.size() <= 5 &&
      port.find_first_not_of("0123456789") == std::string::npos &&
      std::stoul(port) <= 65535 &&
      inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1;
  if (valid) {
    return boost::outcome_v2::success();
  }
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .message = "--" + flag + " is \"" + address +
                          "\"; allowed: an IPv4 address and a port from 0 "
                          "to 65535, for example 127.0.0.1:0"};
}

}  // namespace flamingogauge
