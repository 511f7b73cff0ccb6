#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "wasabiwall/coordination/shard_ownership.h"
#include "wasabiwall/state/key_value.h"

namespace wasabiwall::transport {

/// Carries out what ShardOwnership decides: one watch on the owner records,
/// lease calls and transactions.
class ShardOwnerLoop {
 public:
  /// @param on_owners Receives the owner of each shard after a change.
  ShardOwnerLoop(const coordination::ShardOwnershipOptions& options,
                 state::KeyValueStore store,
                 coordination::IdempotencyLedger* ledger,
                 std::function<void(
                     std::unordered_map<std::int64_t, state::BackendServerId>)>
                     on_owners);
  ~ShardOwnerLoop();

  ShardOwnerLoop(const ShardOwnerLoop&) = delete;
  ShardOwnerLoop& operator=(const ShardOwnerLoop&) = delete;

  /// Does what is due; called regularly.
  /// @param shards Number of shards of the pool.
  /// @param candidates Backend servers that may own shards.
  void Tick(std::int64_t shards,
            const std::vector<state::BackendServerId>& candidates);

  /// Ends the watch and gives the lease back.
  void Stop();

 private:
  void WatchLoop();
  void WatchOnce();
  void DoLeaseStep();

  state::KeyValueStore m_store;
  coordination::ShardOwnership m_ownership;
  std::function<void(std::unordered_map<std::int64_t, state::BackendServerId>)>
      m_on_owners;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::atomic<bool> m_stopped{false};
  std::thread m_watch_thread;
};

}  // namespace wasabiwall::transport
