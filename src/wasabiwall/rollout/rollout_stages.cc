#include "wasabiwall/rollout/rollout_stages.h"

namespace wasabiwall::rollout {

using state::RolloutStage;

bool RolloutStages::OnRecord(std::optional<RolloutStage> recorded,
                             const std::string& reason) {
  m_recorded = recorded;
  if (!recorded) return false;
  if (m_proposed == recorded) m_proposed.reset();
  if (IsFinal(*recorded)) {
    // A settled stage is kept: the record of a restored store may be an earlier
    // write that was carried out late.
    if (m_is_settled) return false;
    m_is_settled = true;
    m_proposed.reset();
    return Enter(*recorded, reason);
  }
  if (*recorded != RolloutStage::kShifting) return false;
  if (m_stage != RolloutStage::kCanary) return false;
  m_proposed.reset();
  return Enter(RolloutStage::kShifting, reason);
}

bool RolloutStages::OnReport(RolloutStage reported, const std::string& from) {
  if (m_is_settled || reported == RolloutStage::kCanary) return false;
  if (reported == RolloutStage::kShifting && m_stage != RolloutStage::kCanary) {
    return false;
  }
  // Who reports `completed` has read it in the record, so that a `bad` that was
  // not written yet came too late; the reverse does not hold.
  if (reported == RolloutStage::kRolledBack &&
      m_stage == RolloutStage::kCompleted) {
    return false;
  }
  if (m_stage == reported) return false;
  m_proposed.reset();
  return Enter(reported, "reported by " + from);
}

void RolloutStages::Propose(RolloutStage stage, const std::string& reason) {
  if (IsFinal(m_stage) || m_proposed == stage) return;
  m_proposed = stage;
  m_proposed_reason = reason;
}

bool RolloutStages::RollBack(const std::string& reason) {
  if (IsFinal(m_stage)) return false;
  m_proposed.reset();
  return Enter(RolloutStage::kRolledBack, reason);
}

bool RolloutStages::Enter(RolloutStage stage, const std::string& reason) {
  if (m_stage == stage) return false;
  m_stage = stage;
  m_reason = reason;
  return true;
}

}  // namespace wasabiwall::rollout
