#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/config_view.h"

namespace wasabiwall::coordination {

/// Options of the spread of configuration.
struct ConfigSyncOptions {
  /// Backend server that this process stands beside; empty at an entry.
  std::string backend_server;
  std::string failure_domain;
  /// Own Thrift address, never asked.
  std::string address;
  /// Thrift addresses to start from.
  std::vector<std::string> peers;
  /// Whether this process may read the key-value service.
  bool may_read_service = true;
  std::size_t readers_per_failure_domain = 8;
  /// Between attempts to get a first configuration.
  std::chrono::milliseconds start_interval{4000};
  /// Between a reader's reads besides those that its watch causes.
  std::chrono::milliseconds reader_interval{5000};
  /// Between questions to a reader.
  std::chrono::milliseconds ask_interval{3000};
  /// Time without an answer after which a process reads the service itself.
  std::chrono::milliseconds isolation_time{10000};
  /// Least time between reads of a process that is no reader.
  std::chrono::milliseconds isolated_interval{10000};
};

/// What to do next to keep the configuration current.
struct ConfigSyncStep {
  enum class Kind { kWait, kReadService, kFetchFromPeer };

  Kind kind = Kind::kWait;
  /// Thrift address to ask.
  std::string address;
  /// Longest time to wait.
  std::chrono::milliseconds wait{0};
};

/// Decides who reads the key-value service and whom the others ask. The
/// readers of a failure domain are the first of its backend servers in
/// rendezvous order, which every process works out from its configuration.
/// The others ask one of them at jittered intervals, now and then one of
/// another failure domain, and read the service only when nobody answers. Not
/// safe for concurrent use.
class ConfigSyncPlanner {
 public:
  ConfigSyncPlanner(ConfigSyncOptions options, ClockHook clock,
                    RandomHook random);

  /// @param view Configuration in force.
  /// @return The next step; a step other than kWait is due now.
  ConfigSyncStep Next(const std::shared_ptr<const state::ConfigView>& view);

  /// Notes that a process or the service has answered.
  void OnAnswer();

  /// @return Whether this process reads the service and watches it.
  bool IsReader() const;

 private:
  using Milliseconds = std::chrono::milliseconds;

  void FindReaders(const std::shared_ptr<const state::ConfigView>& view);
  ConfigSyncStep StartStep();
  ConfigSyncStep Due(ConfigSyncStep::Kind kind, Milliseconds interval,
                     TimePoint* next_time);
  std::string ChoosePeer();
  Milliseconds Jittered(Milliseconds interval);

  ConfigSyncOptions m_options;
  ClockHook m_clock;
  RandomHook m_random;
  std::shared_ptr<const state::ConfigView> m_view;
  std::vector<std::string> m_own_readers;
  std::vector<std::string> m_other_readers;
  bool m_is_reader = false;
  std::size_t m_starts = 0;
  TimePoint m_last_answer;
  TimePoint m_next_read;
  TimePoint m_next_ask;
};

}  // namespace wasabiwall::coordination
