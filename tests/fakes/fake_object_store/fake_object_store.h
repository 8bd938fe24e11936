#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

namespace flamingogauge {

// Injected fault; it applies until the next SetFault().
enum class StoreFault {
  kNone,
  // Responds with 503 without executing the call.
  kUnavailable,
  // Responds with 429 without executing the call.
  kTooManyCalls,
  // Accepts calls without executing them and never responds.
  kSilent,
  // Executes calls, then closes the connection without a response.
  kLosesAnswers,
};

struct FakeObjectStoreOptions {
  // Maximum number of objects in a page of a list response.
  std::size_t page_size = 500;
};

// Test double of the platform's object store: named objects, grouped by kind,
// under /flamingogauge/objects, with revisions, paged lists, watches and
// conditional writes.
class FakeObjectStore {
 public:
  explicit FakeObjectStore(FakeObjectStoreOptions options = {});
  FakeObjectStore(const FakeObjectStore&) = delete;
  FakeObjectStore& operator=(const FakeObjectStore&) = delete;
  ~FakeObjectStore();

  const std::string& address() const;
  void SetFault(StoreFault fault);

  // Writes or removes an object, as an operator or an upstream would. `spec` is
  // normally JSON; it is copied into responses unchanged, so arbitrary bytes
  // produce malformed responses.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Discards the event history, so that watches from an older revision receive
  // 410, and aborts pending watches.
  void Compact();
  // Sets whether responses state an era, 1 at first; no by default.
  void SetStatesEra(bool states_era);
  // Keeps a copy of all objects.
  void TakeCopy();
  // Comes back from the copy in the next era: what was written since is gone,
  // the history too, and revisions are given out again. Aborts pending watches.
  void RestoreCopy();

  // The spec of an object, or "" if the object does not exist.
  std::string Spec(const std::string& kind, const std::string& name) const;
  // The status of an object, "null" if it has none, or "" if the object does
  // not exist.
  std::string Status(const std::string& kind, const std::string& name) const;
  std::uint64_t revision() const;
  std::uint64_t call_count() const;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_
