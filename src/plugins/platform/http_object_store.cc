#include "plugins/platform/http_object_store.h"

#include <optional>
#include <utility>

#include "libs/platform/object_table.h"
#include "plugins/platform/platform_protocol.h"

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// What a call does, as far as its errors depend on it.
struct CallKind {
  std::string step;
  std::string address;
  bool is_change = false;
  ErrorCode condition_failed = ErrorCode::kVersionMismatch;
};

ErrorCode ErrorCodeOf(const CallKind& kind, const HttpOutcome& outcome) {
  if (outcome.budget_spent) {
    return ErrorCode::kResourceExhausted;
  }
  if (outcome.status == 0) {
    if (kind.is_change && outcome.maybe_received) {
      return ErrorCode::kUnknownOutcome;
    }
    return outcome.timed_out && outcome.maybe_received
               ? ErrorCode::kTimeout
               : ErrorCode::kUnavailable;
  }
  switch (outcome.status) {
    case kNoContent:
      return ErrorCode::kTimeout;
    case kNotFound:
      return ErrorCode::kNotFound;
    case kPreconditionFailed:
      return kind.condition_failed;
    case kPayloadTooLarge:
      return ErrorCode::kInvalidArgument;
    case kTooManyRequests:
      return ErrorCode::kResourceExhausted;
    case kServiceUnavailable:
      return ErrorCode::kUnavailable;
    default:
      // The platform's other errors do not say whether a change was made.
      return kind.is_change ? ErrorCode::kUnknownOutcome
                            : ErrorCode::kUnavailable;
  }
}

Error MakeError(const CallKind& kind, const HttpOutcome& outcome) {
  return Error{.code = ErrorCodeOf(kind, outcome),
               .step = kind.step,
               .peer = "platform " + kind.address,
               .message = outcome.status == 0
                              ? outcome.failure
                              : "answered with status " +
                                    std::to_string(outcome.status)};
}

Error MalformedAnswer(const CallKind& kind) {
  return Error{.code = kind.is_change ? ErrorCode::kUnknownOutcome
                                      : ErrorCode::kUnavailable,
               .step = kind.step,
               .peer = "platform " + kind.address,
               .message = "the answer is malformed"};
}

// Turns an outcome into a decoded value or an error.
template <typename Value, typename Decoder>
Result<Value> DecodeOutcome(const CallKind& kind,
                            const HttpOutcome& outcome,
                            Decoder decoder) {
  if (outcome.status != kOk) {
    return MakeError(kind, outcome);
  }
  std::optional<Value> value = decoder(outcome.body);
  if (!value) {
    return MalformedAnswer(kind);
  }
  return std::move(*value);
}

}  // namespace

HttpObjectStore::HttpObjectStore(const PlatformSettings& settings)
    : address_(settings.address),
      call_time_limit_(settings.call_time_limit),
      loop_({.address = settings.address,
             .calls_per_second = settings.calls_per_second,
             .connect_time_limit = settings.connect_time_limit}) {}

void HttpObjectStore::Submit(HttpCall call) {
  if (call.time_limit == std::chrono::milliseconds::zero()) {
    call.time_limit = call_time_limit_;
  }
  const auto done = call.done;
  if (!loop_.Submit(std::move(call))) {
    done({.failure = "the queue of platform calls is full",
          .budget_spent = true});
  }
}

void HttpObjectStore::Get(std::string key, ObjectCallback callback) {
  const CallKind kind{.step = "read object " + key, .address = address_};
  Submit({.method = "GET",
          .path = "/objects/" + EncodeKey(key),
          .done = [kind, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<StoredObject>(kind, outcome, &DecodeObject));
          }});
}

void HttpObjectStore::Put(std::string key,
                          std::string value,
                          std::string condition,
                          ErrorCode condition_failed,
                          const ObjectCallback& callback) {
  const CallKind kind{.step = "write object " + key,
                      .address = address_,
                      .is_change = true,
                      .condition_failed = condition_failed};
  std::string path = "/objects/" + EncodeKey(key);
  Submit({.method = "PUT",
          .path = std::move(path),
          .headers = {std::move(condition), "Content-Type: application/json"},
          .body = EncodeObject(
              {.key = std::move(key), .value = std::move(value), .version = 0}),
          .done = [kind, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<StoredObject>(kind, outcome, &DecodeObject));
          }});
}

void HttpObjectStore::Create(std::string key,
                             std::string value,
                             ObjectCallback callback) {
  Put(std::move(key), std::move(value), "If-None-Match: *",
      ErrorCode::kAlreadyExists, callback);
}

void HttpObjectStore::Update(std::string key,
                             std::string value,
                             std::uint64_t expected_version,
                             ObjectCallback callback) {
  Put(std::move(key), std::move(value),
      "If-Match: " + std::to_string(expected_version),
      ErrorCode::kVersionMismatch, callback);
}

void HttpObjectStore::Delete(std::string key,
                             std::uint64_t expected_version,
                             VoidCallback callback) {
  const CallKind kind{
      .step = "delete object " + key, .address = address_, .is_change = true};
  Submit({.method = "DELETE",
          .path = "/objects/" + EncodeKey(key),
          .headers = {"If-Match: " + std::to_string(expected_version)},
          .done = [kind, callback](const HttpOutcome& outcome) {
            if (outcome.status == kOk) {
              callback(boost::outcome_v2::success());
            } else {
              callback(MakeError(kind, outcome));
            }
          }});
}

void HttpObjectStore::List(std::string prefix, ListCallback callback) {
  const CallKind kind{.step = "list objects " + prefix, .address = address_};
  Submit({.method = "GET",
          .path = "/objects?prefix=" + EncodeKey(prefix),
          .done = [kind, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<std::vector<StoredObject>>(
                kind, outcome, &DecodeObjectList));
          }});
}

void HttpObjectStore::Watch(std::string key,
                            std::uint64_t after_version,
                            std::chrono::milliseconds time_limit,
                            ObjectCallback callback) {
  const CallKind kind{.step = "watch object " + key, .address = address_};
  Submit({.method = "GET",
          .path = "/watch/" + EncodeKey(key) +
                  "?after=" + std::to_string(after_version) +
                  "&time_limit_ms=" + std::to_string(time_limit.count()),
          // A connection that went silent is given up a little later than an
          // idle watch ends.
          .time_limit = time_limit + call_time_limit_,
          .done = [kind, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<StoredObject>(kind, outcome, &DecodeObject));
          }});
}

void HttpObjectStore::Fetch(Callback callback) {
  const CallKind kind{.step = "fetch host list", .address = address_};
  Submit({.method = "GET",
          .path = "/hosts",
          .done = [kind, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<std::vector<ListedHost>>(kind, outcome,
                                                            &DecodeHosts));
          }});
}

}  // namespace flamingogauge
