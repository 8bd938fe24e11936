#ifndef FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_RECORD_JSON_H_
#define FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_RECORD_JSON_H_

#include <optional>
#include <string>

#include "libs/claims/claim_record.h"

namespace flamingogauge {

// The largest response body that is stored with an outcome, in bytes.
inline constexpr std::size_t kMaxKeptBodyBytes = 64U << 10U;

// Writes a record as JSON text. A body that is not UTF-8 or larger than
// kMaxKeptBodyBytes is left out, and body_kept is written as false.
std::string ClaimRecordToJson(const ClaimRecord& record);

// Reads a record, or returns nothing when the text is not a claim record.
std::optional<ClaimRecord> ClaimRecordFromJson(const std::string& text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_RECORD_JSON_H_
