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

// Describes a call for mapping its failures to errors.
struct CallContext {
  std::string step;
  std::string address;
  bool is_change = false;
  ErrorCode condition_failed = ErrorCode::kVersionMismatch;
};

ErrorCode ErrorCodeOf(const CallContext& context, const HttpOutcome& outcome) {
  if (outcome.budget_spent) {
    return ErrorCode::kResourceExhausted;
  }
  if (outcome.status == 0) {
    if (context.is_change && outcome.maybe_received) {
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
      return context.condition_failed;
    case kPayloadTooLarge:
      return ErrorCode::kInvalidArgument;
    case kTooManyRequests:
      return ErrorCode::kResourceExhausted;
    case kServiceUnavailable:
      return ErrorCode::kUnavailable;
    default:
      // Other status codes do not tell whether a change was applied.
      return context.is_change ? ErrorCode::kUnknownOutcome
                               : ErrorCode::kUnavailable;
  }
}

Error MakeError(const CallContext& context, const HttpOutcome& outcome) {
  return Error{.code = ErrorCodeOf(context, outcome),
               .step = context.step,
               .peer = "platform " + context.address,
               .message = outcome.status == 0
                              ? outcome.failure
                              : "responded with HTTP status " +
                                    std::to_string(outcome.status)};
}

Error MalformedResponse(const CallContext& context) {
  return Error{.code = context.is_change ? ErrorCode::kUnknownOutcome
                                         : ErrorCode::kUnavailable,
               .step = context.step,
               .peer = "platform " + context.address,
               .message = "the response body is malformed"};
}

// Decodes the body of a 200 response; maps any other outcome to an error.
template <typename Value, typename Decoder>
Result<Value> DecodeOutcome(const CallContext& context,
                            const HttpOutcome& outcome,
                            Decoder decoder) {
  if (outcome.status != kOk) {
    return MakeError(context, outcome);
  }
  std::optional<Value> value = decoder(outcome.body);
  if (!value) {
    return MalformedResponse(context);
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
    done({.failure = "the platform call queue is full", .budget_spent = true});
  }
}

void HttpObjectStore::Get(std::string key, ObjectCallback callback) {
  const CallContext context{.step = "read object " + key, .address = address_};
  Submit({.method = "GET",
          .path = "/objects/" + EncodeKey(key),
          .done = [context, callback](const HttpOutcome& outcome) {
            callback(
                DecodeOutcome<StoredObject>(context, outcome, &DecodeObject));
          }});
}

void HttpObjectStore::Put(std::string key,
                          std::string value,
                          std::string condition,
                          ErrorCode condition_failed,
                          const ObjectCallback& callback) {
  const CallContext context{.step = "write object " + key,
                            .address = address_,
                            .is_change = true,
                            .condition_failed = condition_failed};
  std::string path = "/objects/" + EncodeKey(key);
  Submit({.method = "PUT",
          .path = std::move(path),
          .headers = {std::move(condition), "Content-Type: application/json"},
          .body = EncodeObject(
              {.key = std::move(key), .value = std::move(value), .version = 0}),
          .done = [context, callback](const HttpOutcome& outcome) {
            callback(
                DecodeOutcome<StoredObject>(context, outcome, &DecodeObject));
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
  const CallContext context{
      .step = "delete object " + key, .address = address_, .is_change = true};
  Submit({.method = "DELETE",
          .path = "/objects/" + EncodeKey(key),
          .headers = {"If-Match: " + std::to_string(expected_version)},
          .done = [context, callback](const HttpOutcome& outcome) {
            if (outcome.status == kOk) {
              callback(boost::outcome_v2::success());
            } else {
              callback(MakeError(context, outcome));
            }
          }});
}

void HttpObjectStore::List(std::string prefix, ListCallback callback) {
  const CallContext context{.step = "list objects " + prefix,
                            .address = address_};
  Submit({.method = "GET",
          .path = "/objects?prefix=" + EncodeKey(prefix),
          .done = [context, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<std::vector<StoredObject>>(
                context, outcome, &DecodeObjectList));
          }});
}

void HttpObjectStore::Watch(std::string key,
                            std::uint64_t after_version,
                            std::chrono::milliseconds time_limit,
                            ObjectCallback callback) {
  const CallContext context{.step = "watch object " + key, .address = address_};
  Submit({.method = "GET",
          .path = "/watch/" + EncodeKey(key) +
                  "?after=" + std::to_string(after_version) +
                  "&time_limit_ms=" + std::to_string(time_limit.count()),
          // An idle watch ends with 204 after `time_limit`. The margin lets
          // that response arrive before the call times out.
          .time_limit = time_limit + call_time_limit_,
          .done = [context, callback](const HttpOutcome& outcome) {
            callback(
                DecodeOutcome<StoredObject>(context, outcome, &DecodeObject));
          }});
}

void HttpObjectStore::Fetch(Callback callback) {
  const CallContext context{.step = "fetch host list", .address = address_};
  Submit({.method = "GET",
          .path = "/hosts",
          .done = [context, callback](const HttpOutcome& outcome) {
            callback(DecodeOutcome<std::vector<ListedHost>>(context, outcome,
                                                            &DecodeHosts));
          }});
}

}  // namespace flamingogauge
