#include <doctest/doctest.h>
#include <pistache/endpoint.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "libs/commandline/client_command.h"
#include "libs/commandline/command_context.h"
#include "tests/auto/commandline/captured_run.h"
#include "tests/auto/document/sample_document.h"

namespace flamingogauge {
namespace {

struct Answer {
  int status = 200;
  std::string body;
};

// Scripted responses of a host's operator interface and the calls it received.
struct HostScript {
  std::mutex mutex;
  std::map<std::string, Answer> answers;
  std::vector<std::string> calls;
};

class ScriptHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(ScriptHandler)

  explicit ScriptHandler(std::shared_ptr<HostScript> script)
      : script_(std::move(script)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override {
    std::lock_guard<std::mutex> lock(script_->mutex);
    const std::string call =
        std::string(Pistache::Http::methodString(request.method())) + " " +
        request.resource() + request.query().as_str();
    script_->calls.push_back(call + " " + request.body());
    const auto token = request.headers().tryGetRaw("Authorization");
    if (!token || token->value() != "Bearer secret") {
      response.send(Pistache::Http::Code::Unauthorized,
                    R"({"error":{"message":"wrong token"}})");
      return;
    }
    const Answer& answer = script_->answers[request.resource()];
    response.send(static_cast<Pistache::Http::Code>(answer.status),
                  answer.body);
  }

 private:
  std::shared_ptr<HostScript> script_;
};

class HostFixture {
 public:
  HostFixture()
      : endpoint_(
            Pistache::Address(Pistache::Ipv4::loopback(), Pistache::Port(0))) {
    endpoint_.init(Pistache::Http::Endpoint::options().threads(1));
    endpoint_.setHandler(std::make_shared<ScriptHandler>(script));
    endpoint_.serveThreaded();
  }
  ~HostFixture() { endpoint_.shutdown(); }

  CommandOutcome RunHere(std::vector<std::string> words,
                         const std::string& token = "secret") {
    words.push_back("--operator_address=127.0.0.1:" +
                    endpoint_.getPort().toString());
    words.push_back("--operator_token=" + token);
    return RunCaptured(std::move(words));
  }

  std::shared_ptr<HostScript> script = std::make_shared<HostScript>();

 private:
  Pistache::Http::Endpoint endpoint_;
};

// A file that is removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    const int descriptor = ::mkstemp(path_.data());
    REQUIRE(descriptor >= 0);
    REQUIRE(::write(descriptor, text.data(), text.size()) ==
            static_cast<ssize_t>(text.size()));
    ::close(descriptor);
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { ::unlink(path_.c_str()); }

  const std::string& path() const { return path_; }

 private:
  std::string path_ =
      (std::filesystem::temp_directory_path() / "flamingogauge-test-XXXXXX")
          .string();
};

// Guards against errors with the wrong exit status, on which operators' scripts
// rely, or without a suggested action.
TEST_CASE("Each error has its exit status and suggests an action") {
  struct Row {
    Answer answer;
    int status;
    std::string error;
  };
  const TemporaryFile file("[]");
  for (const Row& row : {
           Row{{200, R"({"revision":8})"}, kDone, ""},
           Row{{409, R"({"error":{"message":"changed in revision 9"}})"},
               kConflict,
               "changed in revision 9; read the current revision with"},
           Row{{422, R"({"error":{"message":"m","faults":[{"section":"models",)"
                     R"("path":"/0/id","value":"\"\"","allowed":"a name"}]}})"},
               kInvalidDocument,
               "models/0/id: \"\": allowed: a name"},
           Row{{503, R"({"error":{"message":"store down"}})"},
               kUnreachable,
               "store down; try again"},
           Row{{504, R"({"error":{"message":"lost"}})"},
               kOutcomeUnknown,
               "check 'flamingogauge document history' for the change"},
           Row{{500, "oops"}, kFailed, "status 500: oops"},
       }) {
    CAPTURE(row.answer.status);
    HostFixture host;
    host.script->answers["/document/models"] = row.answer;
    const CommandOutcome outcome =
        host.RunHere({"document", "apply", "--section", "models",
                      "--expected-revision=7", "--author=a b", file.path()});
    CHECK(outcome.status == row.status);
    CHECK(outcome.errors.find(row.error) != std::string::npos);
    CHECK((outcome.status == kDone) == outcome.errors.empty());
    REQUIRE(host.script->calls.size() == 1);
    CHECK(host.script->calls[0].starts_with("POST /document/models?"));
    CHECK(host.script->calls[0].find("expected_revision=7") !=
          std::string::npos);
    CHECK(host.script->calls[0].find("author=a%20b") != std::string::npos);
  }
  HostFixture host;
  CHECK(host.RunHere({"status"}, "wrong").status == kTokenRefused);
  CHECK(RunCaptured({"status", "--operator_address=127.0.0.1:1"}).status ==
        kUnreachable);
}

// Guards against invalid usage that is executed or not explained.
TEST_CASE("Invalid usage is rejected with a suggestion") {
  struct Row {
    std::vector<std::string> words;
    std::string error;
  };
  for (const Row& row : {
           Row{{"documnt", "get"}, "did you mean 'document get'?"},
           Row{{"document"}, "unknown command 'document'"},
           Row{{"status", "--operatr_token=x"},
               "did you mean --operator_token"},
           Row{{"status", "--output=xml"}, "use table or json"},
           Row{{"status", "extra"}, "takes 0 arguments, not 1"},
           Row{{"document", "apply", "x"}, "--expected-revision N"},
           Row{{"document", "get", "--revision=x"},
               "must be a non-negative integer"},
           Row{{"document", "check", "/nonexistent"}, "cannot be read"},
           Row{{"document", "apply", "--section"}, "requires a value"},
       }) {
    const CommandOutcome outcome = RunCaptured(row.words);
    CAPTURE(outcome.errors);
    CHECK(outcome.status == kUsage);
    CHECK(outcome.errors.find(row.error) != std::string::npos);
    CHECK(outcome.output.empty());
  }
  CHECK(RunCaptured({"document", "apply", "--help"})
            .output.find("Exit statuses") != std::string::npos);
  CHECK(IsClientCommand("quarantine"));
  CHECK_FALSE(IsClientCommand("serve"));
}

// Guards against a check that requires a host or stops at the first fault.
TEST_CASE("document check and diff read whole documents") {
  const TemporaryFile good(kSampleDocument);
  CHECK(RunCaptured({"document", "check", good.path()}).status == kDone);
  std::string text = kSampleDocument;
  text.replace(text.find("127.0.0.1:1001"), 14, "nowhere");
  text.replace(text.find("goodput_weight"), 14, "goodput_weigth");
  const TemporaryFile bad(text);
  const CommandOutcome checked = RunCaptured({"document", "check", bad.path()});
  CHECK(checked.status == kInvalidDocument);
  CHECK(checked.errors.find("upstreams/0/address") != std::string::npos);
  CHECK(checked.errors.find("did you mean \"goodput_weight\"") !=
        std::string::npos);
  HostFixture host;
  host.script->answers["/document"] = {200, kSampleDocument};
  CHECK(host.RunHere({"document", "diff", good.path()}).status == kDone);
  text = kSampleDocument;
  text.replace(text.find("\"m1\""), 4, "\"m2\"");
  text.replace(text.find("\"m1\""), 4, "\"m2\"");
  const TemporaryFile other(text);
  const CommandOutcome compared =
      host.RunHere({"document", "diff", other.path()});
  CHECK(compared.status == kDifferent);
  CHECK(compared.output.find("removed") != std::string::npos);
  CHECK(compared.output.find("added") != std::string::npos);
}

// Guards against an upstream that is not marked as leaving, and against other
// upstreams being lost from the section.
TEST_CASE("upstream leave edits one upstream of the newest revision") {
  HostFixture host;
  host.script->answers["/document/history"] = {
      200, R"([{"revision":5,"author":"a","section":"","time":"t"}])"};
  host.script->answers["/document"] = {200, kSampleDocument};
  host.script->answers["/document/upstreams"] = {200, R"({"revision":6})"};
  const CommandOutcome listed = host.RunHere({"upstream", "list"});
  CHECK(listed.output.find("2027-06-30T12:00:00Z") != std::string::npos);
  const CommandOutcome outcome =
      host.RunHere({"upstream", "leave", "u1", "--author=ops"});
  CHECK(outcome.status == kDone);
  const std::string& call = host.script->calls.back();
  CHECK(call.find("expected_revision=5") != std::string::npos);
  CHECK(call.find(R"("id":"u1")") != std::string::npos);
  CHECK(call.find(R"("id":"u2")") != std::string::npos);
  CHECK(call.find(R"("leaving":true)") != std::string::npos);
  const CommandOutcome unknown = host.RunHere({"upstream", "leave", "u9"});
  CHECK(unknown.status == kFailed);
  CHECK(unknown.errors.find("did you mean u") != std::string::npos);
}

// Guards against commands that call the wrong path or method, and against
// tables that lack the values.
TEST_CASE("Commands call the operator interface") {
  HostFixture host;
  host.script->answers["/status"] = {
      200,
      R"({"host":"h1","data_centre":"aarhus","ready":true,)"
      R"("document_revision":3,"members":[{"host":"h2",)"
      R"("data_centre":"odense","state":"alive","document_revision":2}]})"};
  host.script->answers["/debug/state"] = {200, "{}"};
  host.script->answers["/drain"] = {200, R"({"draining":true})"};
  host.script->answers["/quarantine"] = {
      200, R"([{"fingerprint":"00ff","time_left_ms":61000}])"};
  host.script->answers["/quarantine/00ff"] = {200, R"({"released":true})"};
  host.script->answers["/document/history"] = {
      200, R"([{"revision":5,"author":"lead","section":"tiers","time":"t"}])"};
  struct Row {
    std::vector<std::string> words;
    std::string call;
    std::string output;
  };
  for (const Row& row : {
           Row{{"status"}, "GET /status", "odense"},
           Row{{"status", "--output=json"}, "GET /status", "\"members\""},
           Row{{"dump"}, "GET /debug/state", "{}"},
           Row{{"drain"}, "POST /drain", "is draining"},
           Row{{"quarantine", "list"}, "GET /quarantine", "61 s"},
           Row{{"quarantine", "release", "00ff"},
               "DELETE /quarantine/00ff",
               "released 00ff from quarantine"},
           Row{{"document", "history"}, "GET /document/history", "lead"},
       }) {
    const CommandOutcome outcome = host.RunHere(row.words);
    CAPTURE(row.call);
    CHECK(outcome.status == kDone);
    CHECK(outcome.output.find(row.output) != std::string::npos);
    CHECK(host.script->calls.back().starts_with(row.call));
  }
}

}  // namespace
}  // namespace flamingogauge
