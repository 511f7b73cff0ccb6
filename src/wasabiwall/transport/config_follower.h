#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wasabiwall/coordination/config_sync_planner.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/state/key_value.h"
#include "wasabiwall/transport/peer_client.h"

namespace wasabiwall::transport {

/// Hooks of a configuration follower; both may be empty.
struct ConfigFollowerHooks {
  /// Told after each complete read when it was begun.
  std::function<void(coordination::TimePoint began_at)> on_read;
  /// Asked whether a read is urgent, from a peer if need be.
  std::function<bool()> read_wanted;
};

/// Keeps a process's configuration current, from the key-value service and
/// from whichever process is heard to have a newer one.
class ConfigFollower {
 public:
  ConfigFollower(coordination::ConfigSyncOptions options,
                 state::KeyValueStore store, state::ConfigStore* config,
                 PeerClient* peers,
                 std::function<protocol::gen::Envelope()> make_envelope,
                 ConfigFollowerHooks hooks = {});
  ~ConfigFollower();

  void Start();
  void Stop();

  /// Notes a process heard of, and a newer revision to be fetched from it.
  /// @param address Thrift address of the process that named it.
  void OnRevisionHeard(std::int64_t revision, const std::string& address);

  /// Answers another process with the items newer than its own.
  protocol::gen::ItemsReply ItemsSince(
      const protocol::gen::ItemsRequest& request) const;

  /// @return Addresses of processes heard from lately.
  std::vector<std::string> HeardFrom() const;

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  void Work();
  void Watch();
  void WantRead();
  bool ReadKeyValue();
  bool FetchFrom(const std::string& address);
  /// Reads from the service, or from any peer while it is out.
  bool Confirm();
  bool Stopped() const;
  void NoteHeard(const std::string& address);

  bool m_may_read_service;
  std::vector<std::string> m_start_peers;
  ConfigFollowerHooks m_hooks;
  state::KeyValueStore m_store;
  state::ConfigStore* m_config;
  PeerClient* m_peers;
  std::function<protocol::gen::Envelope()> m_make_envelope;
  /// Used by the working thread only.
  coordination::ConfigSyncPlanner m_spread;
  std::atomic<bool> m_watches{false};
  /// Revision of the service up to which it has been read.
  std::atomic<std::int64_t> m_service_revision{0};
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_newer_at;
  /// Process heard from last.
  std::string m_last_heard;
  bool m_read_wanted = false;
  std::map<std::string, SteadyTime> m_heard;
  bool m_stopped = false;
  std::thread m_thread;
  std::thread m_watch_thread;
};

}  // namespace wasabiwall::transport
