#include "wasabiwall/rollout/exposure_limiter.h"

namespace wasabiwall::rollout {
namespace {

/// Part of the allowed sends under which calls of further sessions are tried;
/// half leaves room for the uneven sizes of sessions.
constexpr double kUnderusedPart = 0.5;
/// Allowed sends from which the use is judged; fewer say nothing.
constexpr double kFewestAllowed = 4;

}  // namespace

bool ExposureLimiter::MayExpose() const {
  return static_cast<double>(m_exposed + 1) <=
         m_share * static_cast<double>(m_sent + 1);
}

void ExposureLimiter::OnSent(bool to_target) {
  ++m_sent;
  if (to_target) ++m_exposed;
}

bool ExposureLimiter::IsUnderused() const {
  const double allowed = m_share * static_cast<double>(m_sent);
  return allowed >= kFewestAllowed &&
         static_cast<double>(m_exposed) < kUnderusedPart * allowed;
}

}  // namespace wasabiwall::rollout
