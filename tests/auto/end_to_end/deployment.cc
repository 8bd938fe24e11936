#include "tests/auto/end_to_end/deployment.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "libs/digest/sha256.h"
#include "libs/document/document_json.h"

namespace flamingogauge {
namespace {

constexpr char kToken[] = "operators-token";
constexpr std::chrono::seconds kTimeLimit{20};

std::string ValueOrFail(const std::optional<std::string>& value,
                        const ChildProcess& process) {
  if (!value) {
    FAIL(process.Output());
  }
  return value.value_or("");
}

}  // namespace

Deployment::Deployment(const DeploymentOptions& options)
    : platform_(StartFake(FLAMINGOGAUGE_FAKE_PLATFORM, {})) {
  for (int it = 0; it < options.engines; ++it) {
    engines_.push_back(
        StartFake(FLAMINGOGAUGE_FAKE_ENGINE, options.engine_arguments));
  }
  service_ = StartFake(FLAMINGOGAUGE_FAKE_SERVICE, options.service_arguments);
  const std::string file = WriteDocument(options);
  for (int it = 0; it < options.hosts; ++it) {
    StartHost(it + 1, file, options);
  }
  for (Host& it : hosts_) {
    it.peers = ValueOrFail(it.process->WaitForOutput("listens for peers on "),
                           *it.process);
    it.callers = ValueOrFail(
        it.process->WaitForOutput("callers: listening on "), *it.process);
    it.operators = ValueOrFail(
        it.process->WaitForOutput("operators: listening on "), *it.process);
  }
  WaitUntilReady();
  std::remove(file.c_str());
}

Deployment::Fake Deployment::StartFake(
    const std::string& program,
    const std::vector<std::string>& arguments) {
  Fake fake{.process = std::make_unique<ChildProcess>(program, arguments)};
  const std::string port =
      ValueOrFail(fake.process->WaitForOutput("127.0.0.1:"), *fake.process);
  fake.address = "127.0.0.1:" + port;
  return fake;
}

void Deployment::StartHost(int number,
                           const std::string& document_file,
                           const DeploymentOptions& options) {
  std::string seeds;
  if (!hosts_.empty()) {
    Host& first = hosts_.front();
    seeds = ValueOrFail(first.process->WaitForOutput("listens for peers on "),
                        *first.process);
    seeds = seeds.substr(0, seeds.find(','));
  }
  std::vector<std::string> arguments{"serve",
                                     "--host_id=h" + std::to_string(number),
                                     "--data_centre=dc",
                                     "--region=r",
                                     "--peer_listen=127.0.0.1:0",
                                     "--peer_seeds=" + seeds,
                                     "--callers_address=127.0.0.1:0",
                                     "--operators_address=127.0.0.1:0",
                                     std::string("--operators_token=") + kToken,
                                     "--platform_address=" + platform_.address,
                                     "--initial_document=" + document_file};
  arguments.insert(arguments.end(), options.host_arguments.begin(),
                   options.host_arguments.end());
  hosts_.push_back(
      {.process = std::make_unique<ChildProcess>(
           FLAMINGOGAUGE_BINARY, arguments, options.host_process)});
}

std::string Deployment::WriteDocument(const DeploymentOptions& options) const {
  const std::chrono::milliseconds deadline(options.deadline_ms);
  Document document;
  document.tiers = {{.name = "urgent", .deadline = deadline},
                    {.name = "bulk", .deadline = deadline}};
  document.workspaces = {{.id = "w",
                          .key_hashes = {Sha256Hex("secret")},
                          .default_tier = 0,
                          .highest_tier = 0}};
  document.models = {{.id = "m"}};
  document.services = {
      {.id = "bookings", .time_limit = std::chrono::milliseconds(3000)}};
  document.data_centres = {{.id = "dc", .region = "r", .host_slots = 3}};
  for (std::size_t it = 0; options.with_upstreams && it < engines_.size();
       ++it) {
    document.upstreams.push_back({.id = "engine-" + std::to_string(it + 1),
                                  .kind = UpstreamKind::kEngine,
                                  .targets = {"m"},
                                  .data_centre = "dc",
                                  .address = engines_[it].address,
                                  .token_capacity = 262144,
                                  .max_concurrency = static_cast<std::uint32_t>(
                                      options.max_concurrency)});
  }
  if (options.with_upstreams) {
    document.upstreams.push_back({.id = "booking-1",
                                  .kind = UpstreamKind::kService,
                                  .targets = {"bookings"},
                                  .data_centre = "dc",
                                  .address = service_.address});
  }
  std::string name =
      (std::filesystem::temp_directory_path() / "flamingogauge-document-XXXXXX")
          .string();
  const int fd = ::mkstemp(name.data());
  REQUIRE(fd >= 0);
  ::close(fd);
  std::ofstream(name) << JoinSections(WriteSections(document));
  return name;
}

void Deployment::WaitUntilReady() {
  for (std::size_t it = 0; it < hosts_.size(); ++it) {
    const bool ready = Eventually([this, it] {
      const TestAnswer answer = AskOperators(it, "GET", "/status");
      const auto status = nlohmann::json::parse(answer.body, nullptr, false);
      return status.is_object() && status.value("ready", false) &&
             status["members"].size() >= hosts_.size();
    });
    if (!ready) {
      FAIL(hosts_[it].process->Output());
    }
  }
}

TestAnswer Deployment::AskOperators(std::size_t host,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body) const {
  return Ask(hosts_.at(host).operators,
             FormatTestRequest(method, path,
                               {std::string("Authorization: Bearer ") + kToken},
                               body));
}

TestAnswer Ask(const std::string& address, const std::string& request) {
  TestConnection connection(address);
  return connection.Send(request) ? connection.ReadAnswer() : TestAnswer{};
}

std::string ChatRequest(const std::string& prompt,
                        bool stream,
                        int max_tokens) {
  const nlohmann::json body = {
      {"model", "m"},
      {"messages", {{{"role", "user"}, {"content", prompt}}}},
      {"max_tokens", max_tokens},
      {"stream", stream}};
  return FormatTestRequest("POST", "/v1/chat/completions",
                           {"Authorization: Bearer secret"}, body.dump());
}

std::string BookingRequest(const std::string& key) {
  return FormatTestRequest(
      "POST", "/v1/services/bookings/new",
      {"Authorization: Bearer secret", "Idempotency-Key: " + key},
      "{\"crew\":7}");
}

std::string AnswerText(const TestAnswer& answer) {
  std::string text;
  const auto append = [&text](const std::string& json, const char* member) {
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (parsed.is_object() && parsed.contains("choices")) {
      for (const auto& choice : parsed["choices"]) {
        text +=
            choice.value(member, nlohmann::json::object()).value("content", "");
      }
    }
  };
  if (answer.headers.count("transfer-encoding") == 0) {
    append(answer.body, "message");
    return text;
  }
  for (const std::string& it : answer.Events()) {
    append(it, "delta");
  }
  return text;
}

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace flamingogauge
