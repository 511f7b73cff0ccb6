#include "wasabiwall/transport/prompt_holder_lookup.h"

#include <chrono>
#include <utility>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Timeout for the replies of other gateways: a round trip between failure
/// domains (3 ms) plus the scheduling delay on a machine with a tenth of a
/// core.
constexpr milliseconds kTimeout{15};

}  // namespace

PromptHolderLookup::PromptHolderLookup(GatewayContext* context)
    : m_context(context), m_timer(context->loop) {}

PromptHolderLookup::~PromptHolderLookup() { Cancel(); }

bool PromptHolderLookup::Start(const coordination::PlacementQuery& query,
                               std::string call_id,
                               std::function<void()> on_done) {
  const auto now = m_context->loop->Now();
  if (!m_context->placement.NeedsHolderLookup(query, now)) return false;
  m_lookup = m_context->prompt_directory.LookUp(query.shared_part, now,
                                                [this] { OnDone("answered"); });
  if (!m_lookup) return false;
  m_query = query;
  m_call_id = std::move(call_id);
  m_on_done = std::move(on_done);
  m_started_at = now;
  m_timer.Start(kTimeout, [this] {
    m_context->prompt_directory.OnLookupTimeout(*m_lookup,
                                                m_context->loop->Now());
    OnDone("no_answer");
  });
  return true;
}

void PromptHolderLookup::Cancel() {
  m_timer.Stop();
  m_on_done = nullptr;
  if (m_lookup) {
    m_context->prompt_directory.Cancel(*std::exchange(m_lookup, std::nullopt));
  }
}

void PromptHolderLookup::OnDone(const char* outcome) {
  m_lookup.reset();
  const auto now = m_context->loop->Now();
  const bool known = !m_context->placement.NeedsHolderLookup(m_query, now);
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - m_started_at);
  LogInfo("prompt_holder_lookup",
          {{"id", m_call_id},
           {"part", std::to_string(m_query.shared_part)},
           {"outcome", outcome},
           {"known", known ? "true" : "false"},
           {"waited_ms", std::to_string(waited.count())}});
  const auto on_done = std::exchange(m_on_done, nullptr);
  // Last, since it releases the callback that may be running.
  m_timer.Stop();
  if (on_done) on_done();
}

}  // namespace wasabiwall::transport
