#ifndef FLAMINGOGAUGE_LIBS_SERVICES_STORE_WRITE_RESULT_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_STORE_WRITE_RESULT_H_

#include "libs/kernel/error.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// How a write to the store ended, as far as the writer knows.
enum class StoreWriteResult {
  kApplied,
  // Another version, an existing or a missing object stood in the way.
  kConflict,
  // The store did not apply the write.
  kNotApplied,
  // The answer was lost; the write may be applied now or later.
  kUnknown,
};

// Classifies the end of ObjectStore::Create and ObjectStore::Update.
inline StoreWriteResult ToStoreWriteResult(const Result<StoredObject>& result) {
  if (result) {
    return StoreWriteResult::kApplied;
  }
  switch (result.error().code) {
    case ErrorCode::kAlreadyExists:
    case ErrorCode::kVersionMismatch:
    case ErrorCode::kNotFound:
      return StoreWriteResult::kConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kResourceExhausted:
      return StoreWriteResult::kNotApplied;
    default:
      return StoreWriteResult::kUnknown;
  }
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_STORE_WRITE_RESULT_H_
