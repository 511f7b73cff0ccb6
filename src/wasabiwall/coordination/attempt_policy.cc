#include "wasabiwall/coordination/attempt_policy.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

using protocol::ErrorKind;
using std::chrono::milliseconds;

/// Longest time to connect. A connection takes a few milliseconds; one whose
/// first packet is lost takes over a second.
constexpr milliseconds kConnectTimeout{100};
/// Shortest time to connect, for calls with a short objective.
constexpr milliseconds kShortestConnectTimeout{30};
/// Part of the objective that a connection may take.
constexpr int kConnectObjectiveDivisor = 4;
/// Time left below which no further attempt is begun: a round trip and the
/// shortest answer.
constexpr milliseconds kShortestAttempt{20};
/// Attempts to reach a backend server for one call.
constexpr int kMostUnreachable = 4;
/// Sends of one call, those included that were refused without running it.
constexpr int kMostSends = 4;
/// Longest idle time of a connection for a call that may run only once, since
/// a backend server may drop idle connections without notice.
constexpr milliseconds kUnsafeIdle{500};
/// Longest idle time of a connection for other calls.
constexpr milliseconds kIdle{4000};
/// Part of the objective after which a plain call is tried elsewhere.
constexpr double kPlainSilenceShare = 0.6;
/// Work of a plain call seldom takes longer.
constexpr milliseconds kShortestPlainSilence{80};
/// Multiple of the objective after which a stream without a first event is
/// tried elsewhere.
constexpr int kFirstEventObjectives = 3;
/// Multiple of the permitted pause after which a stream is resumed elsewhere.
constexpr int kEventGaps = 4;
/// Part of the objective for which a call may wait for a backend server.
constexpr double kWaitObjectiveShare = 0.75;
/// Part of the time left after which refused callers may come back; they wait
/// no longer than a third.
constexpr int kReturnDivisor = 4;
/// A service without backend servers gets new ones within seconds.
constexpr milliseconds kOutageReturn{2000};
/// Places become free with every call that ends.
constexpr milliseconds kBusyReturn{200};
/// A process that stops is started again within about a second.
constexpr milliseconds kRestartReturn{1000};

milliseconds Scale(milliseconds time, double factor) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

milliseconds AttemptPolicy::ConnectTimeout() const {
  return std::clamp(m_route.objective / kConnectObjectiveDivisor,
                    kShortestConnectTimeout, kConnectTimeout);
}

milliseconds AttemptPolicy::MaxConnectionIdle() const {
  return m_route.IsIdempotent() ? kIdle : kUnsafeIdle;
}

milliseconds AttemptPolicy::AttemptIdleTimeout(bool begun) const {
  if (m_route.kind != state::CallKind::kStream) {
    return std::max(Scale(m_route.objective, kPlainSilenceShare),
                    kShortestPlainSilence);
  }
  if (!begun) return m_route.objective * kFirstEventObjectives;
  return std::max(m_route.event_gap * kEventGaps, m_route.objective);
}

milliseconds AttemptPolicy::QueueTimeout(PlacementRefusal refusal,
                                         bool tried_before,
                                         milliseconds left) const {
  const bool hopeless = refusal == PlacementRefusal::kUnreachable ||
                        (refusal == PlacementRefusal::kNone && !tried_before);
  if (hopeless) return milliseconds{0};
  const auto wait = std::min(Scale(m_route.objective, kWaitObjectiveShare),
                             left - kShortestAttempt);
  return std::max(milliseconds{0}, wait);
}

bool AttemptPolicy::MayRunAgain(const AttemptCounts& counts) const {
  return m_route.IsIdempotent() && counts.runs < m_route.max_attempts;
}

bool AttemptPolicy::MayRetry(const AttemptCounts& counts, bool not_run,
                             milliseconds left) const {
  const bool allowed = (not_run && counts.runs == 0) || MayRunAgain(counts);
  return allowed && left >= kShortestAttempt &&
         counts.unreachable < kMostUnreachable && counts.sends < kMostSends;
}

ErrorKind ErrorOf(PlacementRefusal refusal) {
  switch (refusal) {
    case PlacementRefusal::kNone:
    case PlacementRefusal::kUnreachable:
      return ErrorKind::kNoBackendServer;
    case PlacementRefusal::kCold:
      return ErrorKind::kWarmingUp;
    case PlacementRefusal::kFull:
      return ErrorKind::kOverloaded;
  }
  return ErrorKind::kInternal;
}

const char* NameOf(PlacementRefusal refusal) {
  switch (refusal) {
    case PlacementRefusal::kNone:
      return "no_backend_server";
    case PlacementRefusal::kUnreachable:
      return "all_unreachable";
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
      return kOutageReturn;
    case ErrorKind::kDraining:
      return kRestartReturn;
    default:
      return kBusyReturn;
  }
}

milliseconds MaxRetryAfter(milliseconds left) {
  return std::max(milliseconds{1}, left / kReturnDivisor);
}

}  // namespace wasabiwall::coordination
