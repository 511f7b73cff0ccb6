#include "wasabiwall/transport/key_value_outcome.h"

#include <algorithm>
#include <array>

namespace wasabiwall::transport {
namespace {

using state::KeyValueFailure;

/// Statuses given before a request is carried out. All others, such as 408,
/// 499 and 5xx, may follow an effect.
constexpr std::array kRefusedStatuses = {400, 401, 403, 404, 405, 413, 429};

}  // namespace

KeyValueFailure OutcomeOfFailure(KeyValueCallKind kind, HttpFailure failure) {
  const bool not_done =
      kind == KeyValueCallKind::kRead || failure == HttpFailure::kNotConnected;
  return not_done ? KeyValueFailure::kNotDone : KeyValueFailure::kUnknown;
}

KeyValueFailure OutcomeOfStatus(KeyValueCallKind kind, int status) {
  const bool refused =
      std::find(kRefusedStatuses.begin(), kRefusedStatuses.end(), status) !=
      kRefusedStatuses.end();
  const bool not_done = kind == KeyValueCallKind::kRead || refused;
  return not_done ? KeyValueFailure::kNotDone : KeyValueFailure::kUnknown;
}

bool WithinLimits(const state::KeyValueTxn& txn) {
  const std::size_t compares = txn.compares.size() + txn.create_compares.size();
  const std::size_t most =
      std::max({compares, txn.writes.size(), txn.reads_on_failure.size()});
  if (most > kMaxTxnOperations) return false;
  std::size_t bytes = 0;
  for (const state::KeyValueWrite& write : txn.writes) {
    bytes += write.key.size() + write.value.size();
  }
  return bytes <= kMaxTxnBytes;
}

}  // namespace wasabiwall::transport
