#pragma once

#include "wasabiwall/state/key_value.h"
#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::transport {

/// Whether a call to the key-value service can have an effect.
enum class KeyValueCallKind { kRead, kWrite };

/// Most comparisons, and most operations of each branch, in a transaction.
inline constexpr std::size_t kMaxTxnOperations = 128;
/// Most bytes of keys and values in a transaction; base64 makes a third more.
inline constexpr std::size_t kMaxTxnBytes = 1 << 20;

/// @return What became of a call that has no HTTP response.
state::KeyValueFailure OutcomeOfFailure(KeyValueCallKind kind,
                                        HttpFailure failure);

/// @return What became of a call that was answered with another status than
/// 200.
state::KeyValueFailure OutcomeOfStatus(KeyValueCallKind kind, int status);

/// @return Whether the service takes a transaction of this size.
bool WithinLimits(const state::KeyValueTxn& txn);

}  // namespace wasabiwall::transport
