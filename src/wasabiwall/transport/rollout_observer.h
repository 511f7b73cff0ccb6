#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "wasabiwall/coordination/backend_health.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// @param tried_version Version of the backend server of the attempt before;
/// empty for the first.
/// @return Which versions may serve the next attempt of a call.
state::VersionRule VersionsFor(const GatewayContext& context,
                               const ResolvedCall& call,
                               const std::string& tried_version);

/// Reports to the roll-outs how one attempt of a call ends, and what it shows
/// of the version of its backend server. Does nothing if roll-outs are
/// disabled.
class RolloutObserver {
 public:
  explicit RolloutObserver(GatewayContext* context) : m_context(context) {}
  ~RolloutObserver();
  RolloutObserver(const RolloutObserver&) = delete;
  RolloutObserver& operator=(const RolloutObserver&) = delete;

  /// Records that the attempt begins, before it is connected, so that calls
  /// that connect at the same time do not exceed the exposure together.
  void OnStart(const ResolvedCall& call, const state::BackendServer& server);

  /// @return Whether the version must not get the call any more; it is asked
  /// when the connection is there.
  bool IsWithdrawn() const;

  /// Records that the request has been written.
  void OnWritten();

  /// Records that the response begins.
  void OnHead();

  /// Records that events of a stream have arrived.
  void OnEvents();

  /// Records that the attempt waits for its caller or for room in the buffers
  /// of this gateway, or that its request is suspect, so that it shows nothing
  /// of the version.
  void Ignore();

  /// Records that the connection has ended before the response, for which the
  /// end of the backend server may be the cause.
  void OnBrokenOff();

  /// Records that the backend server has sent nothing in time.
  void OnSilent();

  /// Records the end of the call's time, before the attempt is ended. It counts
  /// as a failure if the backend server had at least the time of the route's
  /// objective and has sent nothing.
  void OnDeadline();

  /// Reports the end of the attempt, once.
  void OnEnded(coordination::HealthSignal signal);

 private:
  struct Attempt {
    rollout::AttemptObservation observation;
    /// The route's objective for the first byte.
    std::chrono::milliseconds objective{0};
    coordination::TimePoint started_at;
    std::optional<coordination::TimePoint> written_at;
    std::optional<coordination::TimePoint> first_event;
    coordination::TimePoint last_event;
    std::int64_t event_gaps = 0;
    bool is_ignored = false;
    bool is_silent = false;
    /// Whether the call's time ended while the response arrived; its times
    /// count.
    bool is_cut = false;
  };

  coordination::TimePoint Now() const { return m_context->loop->Now(); }

  GatewayContext* m_context;
  std::optional<Attempt> m_attempt;
};

}  // namespace wasabiwall::transport
