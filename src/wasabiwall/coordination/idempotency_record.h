#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wasabiwall/state/attempt.h"

namespace wasabiwall::coordination {

/// Answer of a keyed call as recorded.
struct RecordedOutcome {
  std::string body;
  state::AttemptEnd end;
};

/// Names one commit: the start of a process that sent it and a number that
/// this process uses once. Attempt identifiers come from outside and may
/// arrive twice, so they cannot tell whose commit a stored record is.
struct IntentId {
  std::string process;
  std::int64_t number = 0;

  bool operator==(const IntentId& other) const = default;
};

/// Record of an idempotency key as kept in the key-value service.
struct IdempotencyRecord {
  enum class State {
    /// The call may have run.
    kIntent,
    /// The call has run.
    kDone,
    /// The call has not run and the intent is void; a new intent may follow.
    kWithdrawn,
  };

  IntentId intent;
  std::string body_digest;
  State state = State::kIntent;
  /// Set when done.
  RecordedOutcome outcome;
};

/// Longest answer that is kept, in bytes.
inline constexpr std::size_t kMaxRecordedBody = 256 << 10;

/// Makes an outcome fit for a record: an answer above the limit is replaced by
/// an error that says so.
RecordedOutcome BoundOutcome(RecordedOutcome outcome);

/// @return The record as bytes for the key-value service.
std::string EncodeIdempotencyRecord(const IdempotencyRecord& record);

/// @return The record, or nothing when the bytes are not one.
std::optional<IdempotencyRecord> DecodeIdempotencyRecord(
    const std::string& bytes);

}  // namespace wasabiwall::coordination
