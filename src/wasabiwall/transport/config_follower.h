#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/state/key_value.h"
#include "wasabiwall/transport/peer_client.h"

namespace wasabiwall::transport {

/// Options of a configuration follower.
struct ConfigFollowerOptions {
  /// Whether this process reads the key-value service itself.
  bool reads_key_value = true;
  /// Thrift addresses to start from.
  std::vector<std::string> peers;
  std::chrono::milliseconds poll_interval{500};
  /// Told after each complete read when it was begun; may be empty.
  std::function<void(coordination::TimePoint began_at)> on_read;
  /// Asked whether a read is urgent, from a peer if need be; may be empty.
  std::function<bool()> read_wanted;
};

/// Keeps a process's configuration current, from the key-value service and
/// from whichever process is heard to have a newer one.
class ConfigFollower {
 public:
  ConfigFollower(ConfigFollowerOptions options, state::KeyValueStore store,
                 state::ConfigStore* config, PeerClient* peers,
                 std::function<protocol::gen::Envelope()> make_envelope);
  ~ConfigFollower();

  void Start();
  void Stop();

  /// Notes a revision heard of, and where it can be fetched.
  /// @param address Thrift address of the process that named it.
  void OnRevisionHeard(std::int64_t revision, const std::string& address);

  /// Answers another process with the items newer than its own.
  protocol::gen::ItemsReply ItemsSince(
      const protocol::gen::ItemsRequest& request) const;

 private:
  void Work();
  bool ReadKeyValue();
  bool FetchFrom(const std::string& address);
  /// Reads from any peer while the key-value service is out.
  void ConfirmFromPeers();

  ConfigFollowerOptions m_options;
  state::KeyValueStore m_store;
  state::ConfigStore* m_config;
  PeerClient* m_peers;
  std::function<protocol::gen::Envelope()> m_make_envelope;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_newer_at;
  /// Process heard from last.
  std::string m_last_heard;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace wasabiwall::transport
