#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wasabiwall/state/attempt.h"

namespace wasabiwall::coordination {

/// Recorded answer to a call with an idempotency key.
struct RecordedOutcome {
  std::string body;
  state::AttemptEnd end;
};

/// Identifies one commit of an intent by the process start that sent it and a
/// number unique within that process. Attempt identifiers come from other
/// processes and may arrive twice, so they can't tell which commit wrote a
/// stored record.
struct IntentId {
  std::string process;
  std::int64_t number = 0;

  bool operator==(const IntentId& other) const = default;
};

/// Record of an idempotency key in the key-value service.
struct IdempotencyRecord {
  enum class State {
    /// Committed before the run; the call may have run.
    kIntent,
    /// The call has run and its outcome is recorded.
    kDone,
    /// The intent is void and the call has not run; a new intent may follow.
    kWithdrawn,
  };

  IntentId intent;
  std::string body_digest;
  State state = State::kIntent;
  /// Set in state kDone.
  RecordedOutcome outcome;
};

/// Largest answer body that is recorded, in bytes.
inline constexpr std::size_t kMaxRecordedBodyBytes = 256 << 10;

/// Limits an outcome to the size of a record.
/// @return The outcome, or an `outcome_unknown` error without a body when its
/// body exceeds kMaxRecordedBodyBytes.
RecordedOutcome LimitOutcomeSize(RecordedOutcome outcome);

/// Encodes a record as CBOR for the key-value service.
std::string EncodeIdempotencyRecord(const IdempotencyRecord& record);

/// Decodes a record.
/// @return The record, or nothing when the bytes are no valid record.
std::optional<IdempotencyRecord> DecodeIdempotencyRecord(
    const std::string& bytes);

}  // namespace wasabiwall::coordination
