#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

namespace flamingogauge {

// How the store misbehaves until it is told otherwise.
enum class StoreFault {
  kNone,
  // Answers 503; nothing is done.
  kUnavailable,
  // Answers 429; nothing is done.
  kTooManyCalls,
  // Takes calls and never answers.
  kSilent,
  // Does what it is asked and closes the connection without an answer.
  kLosesAnswers,
};

struct FakeObjectStoreOptions {
  // Entries in one page of a list.
  std::size_t page_size = 500;
};

// Stands in for the platform's object store: kinds of named objects under
// /flamingogauge/objects, with revisions, lists in pages, watches and the
// conditions of changes.
class FakeObjectStore {
 public:
  explicit FakeObjectStore(FakeObjectStoreOptions options = {});
  FakeObjectStore(const FakeObjectStore&) = delete;
  FakeObjectStore& operator=(const FakeObjectStore&) = delete;
  ~FakeObjectStore();

  const std::string& address() const;
  void SetFault(StoreFault fault);

  // Writes or removes an object as an operator or an upstream does; `spec` is
  // JSON, or any bytes, which are then put into the answers as they are.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Forgets all events so far, so that older watches get 410, and cuts those
  // that wait.
  void Compact();

  // The spec of an object, or "" if there is none.
  std::string Spec(const std::string& kind, const std::string& name) const;
  std::uint64_t revision() const;
  std::uint64_t call_count() const;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_OBJECT_STORE_FAKE_OBJECT_STORE_H_
