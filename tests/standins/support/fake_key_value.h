#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "wasabiwall/state/key_value.h"

namespace wasabiwall::standins {

/// A key-value service in memory with leases, watches and faults to order.
/// Time is what the owner says it is.
class FakeKeyValue {
 public:
  using Milliseconds = std::chrono::milliseconds;

  state::KeyValueRangeResult Range(const state::KeyValueRange& range);
  state::KeyValueTxnResult Txn(const state::KeyValueTxn& txn);
  std::int64_t GrantLease(std::chrono::seconds ttl);
  std::chrono::seconds RenewLease(std::int64_t lease);
  void RevokeLease(std::int64_t lease);

  /// Moves time forward and lets leases lapse.
  void SetNow(Milliseconds now);

  /// @return Events of a prefix at or after a revision; waits up to `wait`
  /// for one.
  std::vector<state::KeyValueEvent> Events(const std::string& prefix,
                                           std::int64_t from_revision,
                                           Milliseconds wait);

  std::int64_t Revision() const;

  /// @return The service as hooks without faults.
  state::KeyValueStore Store();

 private:
  struct Lease {
    std::chrono::seconds ttl{0};
    Milliseconds expires{0};
  };

  struct Logged {
    std::int64_t revision = 0;
    state::KeyValueEvent event;
  };

  void Put(const state::KeyValueWrite& write);
  void Remove(const std::string& key);
  void DropLease(std::int64_t lease);
  bool Holds(const state::KeyValueTxn& txn) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, state::KeyValueEntry> m_entries;
  std::map<std::int64_t, Lease> m_leases;
  std::vector<Logged> m_log;
  std::int64_t m_revision = 1;
  std::int64_t m_next_lease = 7000;
  Milliseconds m_now{0};
};

}  // namespace wasabiwall::standins
