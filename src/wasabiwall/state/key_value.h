#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace wasabiwall::state {

/// A key of the key-value service with its value, revisions and lease.
struct KeyValueEntry {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

/// Condition on the revision at which a key was last written; 0 means absent.
struct KeyValueCompare {
  std::string key;
  std::int64_t mod_revision = 0;
};

/// Condition on the revision at which a key was created; 0 means absent.
struct KeyValueCreateCompare {
  std::string key;
  std::int64_t create_revision = 0;
};

/// One write of a transaction.
struct KeyValueWrite {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
  bool remove = false;
};

/// A transaction: applies all writes if every comparison holds, else none.
struct KeyValueTxn {
  std::vector<KeyValueCompare> compares;
  std::vector<KeyValueCreateCompare> create_compares;
  std::vector<KeyValueWrite> writes;
  /// Keys that are read if a comparison fails.
  std::vector<std::string> reads_on_failure;
};

struct KeyValueTxnResult {
  bool succeeded = false;
  std::int64_t revision = 0;
  /// Entries of `reads_on_failure` that exist.
  std::vector<KeyValueEntry> entries;
};

/// A read of one key or of all keys with a prefix.
struct KeyValueRange {
  /// Key to read, or the prefix of the keys when `prefix` is set.
  std::string key;
  bool prefix = false;
  /// Omits entries last written before this revision.
  std::int64_t min_mod_revision = 0;
};

struct KeyValueRangeResult {
  std::int64_t revision = 0;
  std::vector<KeyValueEntry> entries;
};

/// A change reported by a watch.
struct KeyValueEvent {
  bool removed = false;
  KeyValueEntry entry;
};

/// Whether a failed call to the key-value service may have taken effect.
enum class KeyValueFailure {
  /// The call had no effect.
  kNotDone,
  /// The call may or may not have taken effect.
  kUnknown,
};

template <typename Value>
using KeyValueResult = tl::expected<Value, KeyValueFailure>;

/// Client interface of the key-value service; each call has its own deadline.
struct KeyValueStore {
  std::function<KeyValueResult<KeyValueRangeResult>(const KeyValueRange&)>
      range;
  std::function<KeyValueResult<KeyValueTxnResult>(const KeyValueTxn&)> txn;
  /// Grants a lease; returns its identifier.
  std::function<KeyValueResult<std::int64_t>(std::chrono::seconds ttl)>
      grant_lease;
  /// Renews a lease; returns the remaining time to live, zero if the lease has
  /// expired.
  std::function<KeyValueResult<std::chrono::seconds>(std::int64_t lease)>
      renew_lease;
  std::function<KeyValueResult<bool>(std::int64_t lease)> revoke_lease;
  /// Watches a prefix from a revision until `on_events` returns false or the
  /// connection ends.
  std::function<KeyValueResult<bool>(
      const std::string& prefix, std::int64_t start_revision,
      const std::function<bool(const std::vector<KeyValueEvent>&)>& on_events)>
      watch;
};

}  // namespace wasabiwall::state
