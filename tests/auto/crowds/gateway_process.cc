#include "tests/auto/crowds/gateway_process.h"

#include <sys/socket.h>

#include <chrono>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <vector>

#include "tests/support/free_address.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeLimit{20};
constexpr milliseconds kRetryInterval{50};
constexpr std::size_t kMaxUpstreamConnections = 4000;
constexpr std::size_t kSmallBytes = 100;
constexpr std::size_t kBigBytes = 200000;
constexpr std::size_t kStreamEvents = 2000;
constexpr std::size_t kEventBytes = 1000;
constexpr std::size_t kEndlessWriteBytes = 20000;

// Of a service with an upstream that writes without end.
const char kEndlessRoutes[] = R"(
    {"name":"KIND","host":"test","pathPrefix":"/endless/KIND/",
     "kind":"idempotent","timeoutMs":2000,"targetLatencyMs":1000,"priority":1,
     "service":"KIND","maxAttempts":1,"anonymous":true},
    {"name":"KIND-stream","host":"test","pathPrefix":"/endless-stream/KIND/",
     "kind":"streaming","timeoutMs":2000,"targetLatencyMs":1000,"priority":1,
     "service":"KIND","maxAttempts":1,"anonymous":true,"gapAimMs":300,
     "resumable":true})";
const char kEndlessService[] = R"({"name":"KIND","maxConnections":1000})";

// ENDLESS_ROUTES and ENDLESS_SERVICES are replaced by those of all kinds.
const char kManifest[] = R"({"version":1,
  "routes":[
    {"name":"small","host":"test","pathPrefix":"/small/","kind":"idempotent",
     "timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"service":"s",
     "maxAttempts":2,"anonymous":true},
    {"name":"big","host":"test","pathPrefix":"/big/","kind":"idempotent",
     "timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"service":"s",
     "maxAttempts":2,"anonymous":true},
    {"name":"stream","host":"test","pathPrefix":"/stream/","kind":"streaming",
     "timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"service":"s",
     "maxAttempts":1,"anonymous":true,"gapAimMs":300},
    {"name":"late","host":"test","pathPrefix":"/late/","kind":"non_idempotent",
     "timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"service":"late",
     "maxAttempts":1,"anonymous":true},
    ENDLESS_ROUTES],
  "services":[{"name":"s","maxConnections":1000},
              {"name":"late","maxConnections":1000},
              ENDLESS_SERVICES],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
            "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[]})";

std::string Replace(std::string text,
                    std::string_view what,
                    const std::string& by) {
  for (std::size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + by.size())) {
    text.replace(at, what.size(), by);
  }
  return text;
}

std::string RequestIdOf(const std::string& request) {
  constexpr std::string_view kName = "Request-Id: ";
  const std::size_t begin = request.find(kName) + kName.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string AnswerHead(const std::string& request_id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
         "\r\nResponse-Seal: s1\r\n";
}

void WriteStream(const ScriptedConnection& connection) {
  std::string events;
  for (std::size_t it = 0; it < kStreamEvents; ++it) {
    events += "id: " + std::to_string(it) + "\ndata: ";
    events += std::string(kEventBytes - 20, 'x') + "\n\n";
  }
  connection.Write("Content-Type: text/event-stream\r\nContent-Length: " +
                   std::to_string(events.size()) + "\r\n\r\n" + events);
}

void Serve(ScriptedConnection& connection) {
  for (std::string line = connection.ReadRequest(); !line.empty();
       line = connection.ReadRequest()) {
    connection.Write(AnswerHead(RequestIdOf(connection.last_request())));
    if (line.find("/stream/") != std::string::npos) {
      WriteStream(connection);
      continue;
    }
    const std::size_t n =
        line.find("/big/") != std::string::npos ? kBigBytes : kSmallBytes;
    connection.Write("Content-Length: " + std::to_string(n) + "\r\n\r\n" +
                     std::string(n, 'x'));
  }
}

struct EndlessBytes {
  std::string kind;
  std::string begin;
  // Repeated.
  std::string part;
};

std::vector<EndlessBytes> AllEndlessBytes(const std::string& request_id) {
  const std::string head = AnswerHead(request_id);
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string unavailable =
      "HTTP/1.1 503 Full\r\nRequest-Id: " + request_id;
  return {
      {"status-line", "HTTP/1.1 200 ", "x"},
      {"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"foreign", AnswerHead("other") + "\r\n", "x"},
      {"body", head + "\r\n", "x"},
      {"chunks", chunked, "5\r\nxxxxx\r\n"},
      {"extension", chunked + "5;", "x"},
      {"trailer", chunked + "0\r\nX: ", "x"},
      {"event", head + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
      {"events", head + "Content-Type: text/event-stream\r\n\r\n",
       "data: x\n\n"},
      {"refusal", unavailable + "\r\nNot-Executed: 1\r\n\r\n", "x"},
      {"failure", unavailable + "\r\nResponse-Seal: s1\r\n\r\n", "x"},
      {"after-answer", head + "Content-Length: 1\r\n\r\nx", "x"},
  };
}

void ServeEndlessly(ScriptedConnection& connection) {
  const std::string line = connection.ReadRequest();
  if (line.empty()) {
    return;
  }
  for (const EndlessBytes& it :
       AllEndlessBytes(RequestIdOf(connection.last_request()))) {
    if (line.find("/" + it.kind + "/") == std::string::npos) {
      continue;
    }
    std::string parts;
    while (parts.size() < kEndlessWriteBytes) {
      parts += it.part;
    }
    connection.Write(it.begin);
    while (connection.Write(parts)) {
    }
  }
}

std::vector<ScriptedServer::Script> Scripts(
    const ScriptedServer::Script& script) {
  return std::vector<ScriptedServer::Script>(kMaxUpstreamConnections, script);
}

std::string Upstream(const std::string& service, const std::string& address) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":"z","slots":400,"state":"ready"})";
}

}  // namespace

GatewayProcess::GatewayProcess(const ChildProcessOptions& options)
    : upstream_(Scripts(Serve)),
      late_upstream_(Scripts([end = end_of_test_.get_future().share()](
                                 ScriptedConnection& connection) {
                       connection.ReadHead();
                       end.wait();
                     }),
                     {.has_small_buffers = true}),
      endless_upstream_(Scripts(ServeEndlessly)),
      address_(FreeAddress(SOCK_STREAM)),
      status_address_(FreeAddress(SOCK_STREAM)) {
  FillStore();
  process_ = std::make_unique<ChildProcess>(
      FLAMINGOGAUGE_BINARY,
      std::vector<std::string>{
          "serve", "--host_name=h1", "--host_data_centre=z",
          "--host_report_address=" + FreeAddress(SOCK_DGRAM),
          "--gateway_listen_address=" + address_,
          "--gateway_status_address=" + status_address_,
          "--fleet_store_address=" + store_.address()},
      options);
  const std::string ready =
      "GET /flamingogauge/ready HTTP/1.1\r\nHost: h\r\n\r\n";
  const auto give_up = steady_clock::now() + kTimeLimit;
  while (steady_clock::now() < give_up) {
    TestConnection connection(status_address_);
    if (connection.Send(ready) && connection.ReadAnswer().status == 200) {
      return;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  end_of_test_.set_value();
  throw std::runtime_error("the gateway is not ready: " + process_->Output());
}

GatewayProcess::~GatewayProcess() {
  end_of_test_.set_value();
}

void GatewayProcess::FillStore() {
  std::string routes;
  std::string services;
  for (const std::string& it : EndlessKinds()) {
    const std::string separator = routes.empty() ? "" : ",";
    routes += separator + Replace(kEndlessRoutes, "KIND", it);
    services += separator + Replace(kEndlessService, "KIND", it);
    store_.Put("servers", it, Upstream(it, endless_upstream_.address()));
  }
  store_.Put("config", "main",
             Replace(Replace(kManifest, "ENDLESS_ROUTES", routes),
                     "ENDLESS_SERVICES", services));
  store_.Put("servers", "u1", Upstream("s", upstream_.address()));
  store_.Put("servers", "u2", Upstream("late", late_upstream_.address()));
}

bool GatewayProcess::AnswersOrdinaryRequest() const {
  const auto give_up = steady_clock::now() + kTimeLimit;
  while (steady_clock::now() < give_up) {
    TestConnection connection(address_);
    connection.Send(GatewayRequest("/small/a", "ordinary"));
    const TestAnswer answer = connection.ReadAnswer();
    if (answer.status == 200) {
      return answer.complete && answer.body == std::string(kSmallBytes, 'x') &&
             answer.headers.at("request-id") == "ordinary";
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return false;
}

std::vector<std::string> EndlessKinds() {
  std::vector<std::string> kinds;
  for (const EndlessBytes& it : AllEndlessBytes("")) {
    kinds.push_back(it.kind);
  }
  return kinds;
}

std::string GatewayRequest(const std::string& path,
                           const std::string& request_id) {
  return FormatTestRequest(
      "GET", path, {"Request-Id: " + request_id, "Deadline-Ms: 12000"}, "");
}

std::string GatewayUpload(const std::string& path,
                          std::size_t length,
                          std::size_t sent) {
  return FormatTestRequest("PUT", path,
                           {"Request-Id: id-1", "Deadline-Ms: 12000",
                            "Content-Length: " + std::to_string(length)},
                           "") +
         std::string(sent, 'x');
}

}  // namespace flamingogauge
