#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/rollout/rollout_controller.h"

namespace wasabiwall::fakes {

/// How the version on trial behaves.
enum class VersionKind {
  kGood,
  kFails5,
  kFails20,
  kFails100,
  kSlow,
  kBadFromHalf,
  kBadUnderLoad,
  kBadOnOneRoute,
  /// Breaks off 20 of 100 responses, or sends none at all.
  kBreaksOff20,
};

/// The failure during a roll-out.
enum class FleetFailure {
  kNone,
  kDeciderKilled,
  kDeciderFrozen,
  kHalfCutOffFromStore,
  kDatagramsLost,
  kWriteRepliesLost,
  kStoreRestored,
  kServerKilled,
};

struct FleetOptions {
  int gateways = 10;
  /// Calls per second of all gateways together.
  double rate = 400;
  int old_servers = 20;
  VersionKind kind = VersionKind::kGood;
  FleetFailure failure = FleetFailure::kNone;
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{12000};
  /// Time of an order for the third version, which is good; none if 0.
  std::chrono::milliseconds replaced_at{0};
};

/// What a roll-out has done.
struct FleetResult {
  /// Calls, and sends to the target version, between order and deadline.
  std::uint64_t calls = 0;
  std::uint64_t exposed = 0;
  /// Sends to the version on trial after the allowed time from the 50th bad
  /// answer.
  std::uint64_t late_sends = 0;
  /// Answers of the target version that were counted good.
  std::uint64_t good_answers = 0;
  std::uint64_t bad_answers = 0;
  std::optional<std::chrono::milliseconds> completed_at;
  std::optional<std::chrono::milliseconds> rolled_back_at;
  /// Calls that cannot be repeated and ran on the old version at `completed`.
  int cut_calls = 0;
  /// Whether a final status was followed by the other one.
  bool has_contradiction = false;
  /// Target version of the last status.
  std::string last_target;
  std::string reason;
  std::uint64_t writes = 0;
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::size_t largest_datagram = 0;
};

/// Gateways, backend servers of two versions, a store and lossy datagrams on
/// virtual time in one thread.
class RolloutFleet {
 public:
  explicit RolloutFleet(FleetOptions options);
  ~RolloutFleet();

  /// Runs a roll-out to some seconds after its deadline.
  FleetResult Run();

 private:
  struct Gateway;
  struct Server;
  struct Call;
  using Milliseconds = std::chrono::milliseconds;

  void Step();
  void At(Milliseconds delay, std::function<void()> event);
  void Arrive();
  void Start(int gateway, std::shared_ptr<Call> call);
  void End(int gateway, const std::shared_ptr<Call>& call, int server,
           bool is_failed, bool has_response);
  int Place(int gateway, const state::VersionRule& rule);
  bool IsBad(int server, const std::string& route);
  void Send(int from, int to, const protocol::RolloutMessage& message);
  void Deliver(int to, const std::string& from, const std::string& bytes);
  void Write(int gateway, const state::RolloutRecord& record);
  void Apply(const state::RolloutRecord& record, std::int64_t condition);
  void Poll(int gateway);
  /// Registers the backend servers of a version.
  void StartServers(const std::string& version);
  void PutOrder(const std::string& target);
  void BeginFailure();
  void Restore();
  void KillServer();
  std::vector<std::string> Collectors() const;
  std::vector<std::string> Names() const;
  bool IsCutOff(int gateway) const;
  rollout::RolloutController::Hooks HooksOf(int gateway);
  Milliseconds Elapsed() const;

  FleetOptions m_options;
  std::mt19937_64 m_random;
  coordination::TimePoint m_now{std::chrono::seconds(1000)};
  coordination::TimePoint m_order_time;
  state::ServiceId m_service{"service"};
  state::BackendRegistry m_registry{state::LapseTimes{}};
  std::multimap<coordination::TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<double> m_shares;

  // The store.
  std::optional<state::RolloutRecord> m_record;
  std::optional<state::RolloutRecord> m_saved_record;
  std::int64_t m_record_revision = 0;
  std::int64_t m_next_revision = 10;
  std::int64_t m_era = 1;
  std::optional<state::RolloutOrder> m_order;

  bool m_is_cut_off = false;
  bool m_loses_datagrams = false;
  bool m_loses_replies = false;
  std::optional<coordination::TimePoint> m_fiftieth_bad;
  FleetResult m_result;
};

}  // namespace wasabiwall::fakes
