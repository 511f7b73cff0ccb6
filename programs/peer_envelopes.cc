#include "peer_envelopes.h"

#include <utility>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/crash_record_codec.h"

namespace wasabiwall::programs {
namespace {

constexpr std::size_t kCrashesPerMessage = 4;

}  // namespace

PeerEnvelopes::PeerEnvelopes(const protocol::Settings& settings,
                             const std::string& own,
                             coordination::ControlBudget* budget,
                             Sources sources)
    : m_address(settings.peer_address),
      m_secret(settings.secret),
      m_sources(std::move(sources)),
      m_load_selector(own, budget, coordination::SteadyClock()) {}

protocol::gen::Envelope PeerEnvelopes::Make() const {
  protocol::gen::Envelope envelope;
  envelope.sender = m_address;
  envelope.secret = m_secret;
  envelope.config_revision = m_sources.config->Revision();
  return envelope;
}

protocol::gen::Envelope PeerEnvelopes::MakeFor(const std::string& receiver,
                                               bool urgent) {
  protocol::gen::Envelope envelope = Make();
  envelope.loads = m_load_selector.Select(receiver, urgent, m_sources.loads);
  envelope.crashes = coordination::ToThrift(m_sources.crashes->TakeForPeers(
      kCrashesPerMessage, coordination::SteadyClock()()));
  return envelope;
}

}  // namespace wasabiwall::programs
