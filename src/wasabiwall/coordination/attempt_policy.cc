#include "wasabiwall/coordination/attempt_policy.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

using protocol::ErrorKind;
using std::chrono::milliseconds;

/// Connecting takes a few milliseconds; with the first packet lost it takes
/// over a second.
constexpr milliseconds kMaxConnectTimeout{100};
/// Lower bound for calls with a short objective.
constexpr milliseconds kMinConnectTimeout{30};
/// The connect timeout is the objective divided by this.
constexpr int kConnectObjectiveDivisor = 4;
/// Time left below which no further attempt is started: a round trip and the
/// shortest response.
constexpr milliseconds kMinAttemptTime{20};
/// Failed connection attempts after which a call is not retried.
constexpr int kMaxUnreachable = 4;
/// Sends after which a call is not retried, including those refused without
/// execution.
constexpr int kMaxSends = 4;
/// Idle limit for calls that must not be executed twice, since a backend server
/// may drop idle connections without notice.
constexpr milliseconds kNonIdempotentMaxIdle{500};
/// Idle limit for idempotent calls.
constexpr milliseconds kIdempotentMaxIdle{4000};
/// Share of the objective after which a non-streaming call is tried elsewhere.
constexpr double kUnaryTimeoutShare = 0.6;
/// Non-streaming calls seldom take longer.
constexpr milliseconds kMinUnaryTimeout{80};
/// Multiple of the objective after which a stream without a first event is
/// tried elsewhere.
constexpr int kFirstEventObjectiveFactor = 3;
/// Multiple of the permitted gap between events after which a stream is resumed
/// elsewhere.
constexpr int kEventGapFactor = 4;
/// Share of the objective that a call may spend in the admission queue.
constexpr double kQueueObjectiveShare = 0.75;
/// The longest Retry-After time is the time left divided by this; callers wait
/// at most a third of it.
constexpr int kRetryAfterDivisor = 4;
/// New backend servers of a service without any appear within seconds.
constexpr milliseconds kNoBackendRetryAfter{2000};
/// Capacity is freed by every call that ends.
constexpr milliseconds kOverloadRetryAfter{200};
/// A stopped process is restarted within about a second.
constexpr milliseconds kDrainingRetryAfter{1000};

milliseconds Scale(milliseconds time, double factor) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

milliseconds AttemptPolicy::ConnectTimeout() const {
  return std::clamp(m_route.objective / kConnectObjectiveDivisor,
                    kMinConnectTimeout, kMaxConnectTimeout);
}

milliseconds AttemptPolicy::MaxConnectionIdle() const {
  return m_route.IsIdempotent() ? kIdempotentMaxIdle : kNonIdempotentMaxIdle;
}

milliseconds AttemptPolicy::AttemptIdleTimeout(bool response_started) const {
  if (m_route.kind != state::CallKind::kStream) {
    return std::max(Scale(m_route.objective, kUnaryTimeoutShare),
                    kMinUnaryTimeout);
  }
  if (!response_started) return m_route.objective * kFirstEventObjectiveFactor;
  return std::max(m_route.event_gap * kEventGapFactor, m_route.objective);
}

milliseconds AttemptPolicy::QueueTimeout(PlacementRefusal refusal,
                                         QueueStage stage,
                                         milliseconds left) const {
  const bool is_futile =
      refusal == PlacementRefusal::kUnreachable ||
      (refusal == PlacementRefusal::kNoneEligible && stage == QueueStage::kNew);
  if (is_futile) return milliseconds{0};
  const auto longest = std::max(milliseconds{0}, left - kMinAttemptTime);
  // The caller has given up on the objective, not on the response.
  const bool lacks_room = refusal == PlacementRefusal::kFull ||
                          refusal == PlacementRefusal::kCold ||
                          refusal == PlacementRefusal::kHeldOff;
  if (stage == QueueStage::kResponseBegun && lacks_room) return longest;
  return std::min(Scale(m_route.objective, kQueueObjectiveShare), longest);
}

bool AttemptPolicy::MayRunAgain(const AttemptCounts& counts) const {
  return m_route.IsIdempotent() && counts.runs < m_route.max_attempts;
}

bool AttemptPolicy::MayRetry(const AttemptCounts& counts, bool not_run,
                             milliseconds left) const {
  const bool allowed = (not_run && counts.runs == 0) || MayRunAgain(counts);
  return allowed && left >= kMinAttemptTime &&
         counts.unreachable < kMaxUnreachable && counts.sends < kMaxSends;
}

ErrorKind ErrorOf(PlacementRefusal refusal) {
  switch (refusal) {
    case PlacementRefusal::kRegistryIncomplete:
      return ErrorKind::kStaleConfiguration;
    case PlacementRefusal::kNoneEligible:
    case PlacementRefusal::kUnreachable:
      return ErrorKind::kNoBackendServer;
    case PlacementRefusal::kCold:
      return ErrorKind::kWarmingUp;
    case PlacementRefusal::kHeldOff:
    case PlacementRefusal::kFull:
      return ErrorKind::kOverloaded;
  }
  return ErrorKind::kInternal;
}

const char* NameOf(PlacementRefusal refusal) {
  switch (refusal) {
    case PlacementRefusal::kRegistryIncomplete:
      return "registry_incomplete";
    case PlacementRefusal::kNoneEligible:
      return "no_backend_server";
    case PlacementRefusal::kUnreachable:
      return "all_unreachable";
    case PlacementRefusal::kHeldOff:
      return "all_held_off";
    case PlacementRefusal::kCold:
      return "all_cold";
    case PlacementRefusal::kFull:
      return "all_full";
  }
  return "unknown";
}

milliseconds MinRetryAfter(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNoBackendServer:
      return kNoBackendRetryAfter;
    case ErrorKind::kDraining:
      return kDrainingRetryAfter;
    default:
      return kOverloadRetryAfter;
  }
}

milliseconds MaxRetryAfter(milliseconds left) {
  return std::max(milliseconds{1}, left / kRetryAfterDivisor);
}

}  // namespace wasabiwall::coordination
