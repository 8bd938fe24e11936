#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/kernel/plugin_manager.h"

namespace flamingogauge {
namespace {

using Journal = std::vector<std::string>;

class JournalPlugin : public Plugin {
 public:
  JournalPlugin(std::string name, Journal* journal, bool drains)
      : name_(std::move(name)), journal_(journal), drains_(drains) {}
  ~JournalPlugin() override { journal_->push_back("destroy " + name_); }

  std::string_view Name() const override { return name_; }
  Result<void> Initialize(ServiceRegistry& registry) override {
    journal_->push_back("initialize " + name_);
    return registry.Register<JournalPlugin>(name_, this);
  }
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override {
    journal_->push_back("extensions " + name_);
    Result<JournalPlugin*> other = registry.Find<JournalPlugin>("b");
    if (!other) {
      return other.error();
    }
    return boost::outcome_v2::success();
  }
  void AboutToShutdown(std::function<void()> done) override {
    journal_->push_back("drain " + name_);
    if (drains_) {
      done();
    }
  }
  std::string DumpState() const override { return "{}"; }

 private:
  std::string name_;
  Journal* journal_;
  bool drains_;
};

// Guards against a wrong order of initialisation, drain or destruction.
TEST_CASE("PluginManager leads plugins through their life in order") {
  Journal journal;
  {
    PluginManager manager;
    manager.Add(std::make_unique<JournalPlugin>("a", &journal, true));
    manager.Add(std::make_unique<JournalPlugin>("b", &journal, true));
    REQUIRE(manager.Start().has_value());
    CHECK(manager.DumpAll() == R"({"a":{},"b":{}})");
    CHECK(manager.Shutdown(std::chrono::milliseconds(1000)));
  }
  CHECK(journal == Journal{"initialize a", "initialize b", "extensions a",
                           "extensions b", "drain b", "drain a", "destroy b",
                           "destroy a"});
}

// Guards against a start that goes on without a service, and against a drain
// that is reported as complete when it is not.
TEST_CASE("PluginManager reports failed starts and incomplete drains") {
  Journal journal;
  PluginManager manager;
  manager.Add(std::make_unique<JournalPlugin>("a", &journal, false));
  const Result<void> started = manager.Start();
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().step == "a: find service");
  CHECK(started.error().peer == "b");
  CHECK_FALSE(manager.Shutdown(std::chrono::milliseconds(1)));
}

}  // namespace
}  // namespace flamingogauge
