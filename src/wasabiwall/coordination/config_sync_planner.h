#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/config_view.h"

namespace wasabiwall::coordination {

/// Options of ConfigSyncPlanner.
struct ConfigSyncOptions {
  /// Backend server of this side process; empty in an entry process.
  std::string backend_server;
  std::string failure_domain;
  /// Thrift address of this process, which is excluded from the peers.
  std::string address;
  /// Thrift addresses of the peers to get the first configuration from.
  std::vector<std::string> peers;
  /// Whether this process may read the key-value service.
  bool may_read_service = true;
  std::size_t readers_per_failure_domain = 8;
  /// Time between rounds of attempts to get the first configuration.
  std::chrono::milliseconds bootstrap_interval{4000};
  /// Time between a reader's periodic reads; its watch causes further ones.
  std::chrono::milliseconds reader_read_interval{5000};
  /// Time between fetches from a reader.
  std::chrono::milliseconds peer_fetch_interval{3000};
  /// Time without an answer after which a process reads the key-value service
  /// itself.
  std::chrono::milliseconds isolation_timeout{10000};
  /// Time between reads by a process that isn't a reader.
  std::chrono::milliseconds isolated_read_interval{10000};
};

/// Next step to keep the configuration current.
struct ConfigSyncStep {
  enum class Kind { kWait, kReadService, kFetchFromPeer };

  Kind kind = Kind::kWait;
  /// Thrift address of the peer to fetch from.
  std::string address;
  /// Longest time to wait before the next step.
  std::chrono::milliseconds wait{0};
};

/// Plans where a process gets its configuration from. A few reader processes in
/// each failure domain read the key-value service; the others fetch from them.
/// The readers of a failure domain are the first of its backend servers in
/// rendezvous order, which every process computes from its configuration. The
/// other processes fetch from a random reader of their failure domain at
/// jittered intervals, sometimes from one of another failure domain, and read
/// the key-value service only when they have no reader or get no answer. Not
/// thread-safe.
class ConfigSyncPlanner {
 public:
  ConfigSyncPlanner(ConfigSyncOptions options, ClockHook clock,
                    RandomHook random);

  /// Plans the next step.
  /// @param view Configuration in force.
  /// @return The next step; any step other than kWait is due now.
  ConfigSyncStep Next(const std::shared_ptr<const state::ConfigView>& view);

  /// Records that a peer or the key-value service has answered.
  void OnAnswer();

  /// @return Whether this process is a reader in the configuration last passed
  /// to Next.
  bool IsReader() const;

 private:
  using Milliseconds = std::chrono::milliseconds;

  void FindReaders(const std::shared_ptr<const state::ConfigView>& view);
  ConfigSyncStep BootstrapStep();
  ConfigSyncStep StepWhenDue(ConfigSyncStep::Kind kind, Milliseconds interval,
                             TimePoint* next_time);
  std::string ChoosePeer();
  Milliseconds Jittered(Milliseconds interval);

  ConfigSyncOptions m_options;
  ClockHook m_clock;
  RandomHook m_random;
  std::shared_ptr<const state::ConfigView> m_view;
  std::vector<std::string> m_local_readers;
  std::vector<std::string> m_remote_readers;
  bool m_is_reader = false;
  std::size_t m_bootstrap_attempts = 0;
  TimePoint m_last_answer;
  TimePoint m_next_read;
  TimePoint m_next_fetch;
};

}  // namespace wasabiwall::coordination
