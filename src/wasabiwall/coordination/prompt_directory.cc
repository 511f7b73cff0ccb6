#include "wasabiwall/coordination/prompt_directory.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Homes of a part; one remains while the other is restarted.
constexpr std::size_t kHomes = 2;
/// Time after which a holder in use is announced again, for homes that have
/// been restarted or have become home since.
constexpr std::chrono::seconds kAnnouncePeriod{10};
/// Announcements remembered; all are forgotten beyond it.
constexpr std::size_t kMostAnnounced = 20000;
/// Questions in a row without an answer after which a home is left alone; a
/// single datagram may be lost.
constexpr int kSilentQuestions = 2;
/// How long a home that did not answer is left alone. A restarted process is
/// back within about a second.
constexpr std::chrono::seconds kSilencePause{2};

}  // namespace

PromptDirectory::PromptDirectory(std::string own_name, PromptCacheIndex* known,
                                 SendHook send)
    : m_own_name(std::move(own_name)),
      m_known(known),
      m_send(std::move(send)) {}

void PromptDirectory::SetMembers(std::map<std::string, std::string> members) {
  m_members = std::move(members);
  std::erase_if(m_members,
                [](const auto& member) { return member.second.empty(); });
}

std::vector<std::string> PromptDirectory::OtherHomes(std::uint64_t part) const {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(m_members.size());
  for (const auto& [name, address] : m_members) {
    ranked.emplace_back(state::FastHash(name, part), &name);
  }
  const auto homes = std::min(kHomes, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(homes),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < homes; ++i) {
    const std::string& name = *ranked[i].second;
    if (name != m_own_name) addresses.push_back(m_members.at(name));
  }
  return addresses;
}

void PromptDirectory::OnRead(std::uint64_t part,
                             const state::BackendServerId& holder,
                             TimePoint now) {
  m_known->OnRead(part, holder, now);
  if (m_announced.size() >= kMostAnnounced) m_announced.clear();
  const auto [entry, is_new] =
      m_announced.try_emplace(state::FastHash(holder.value, part), now);
  if (!is_new && now - entry->second < kAnnouncePeriod) return;
  entry->second = now;
  for (const std::string& home : OtherHomes(part)) {
    m_send(home, {.kind = protocol::PromptDirectoryMessage::Kind::kHeld,
                  .part = part,
                  .holders = {holder}});
  }
}

std::optional<PromptDirectory::LookupId> PromptDirectory::LookUp(
    std::uint64_t part, TimePoint now, std::function<void()> on_answered) {
  std::vector<std::string> homes = OtherHomes(part);
  std::erase_if(homes, [&](const std::string& home) {
    const auto silence = m_silences.find(home);
    return silence != m_silences.end() && now < silence->second.until;
  });
  if (homes.empty()) return std::nullopt;
  const LookupId id = m_next_question++;
  m_questions[id] = {homes, std::move(on_answered)};
  for (const std::string& home : homes) {
    m_send(home, {.kind = protocol::PromptDirectoryMessage::Kind::kQuestion,
                  .question = id,
                  .part = part});
  }
  return id;
}

void PromptDirectory::OnLookupTimeout(LookupId id, TimePoint now) {
  const auto found = m_questions.find(id);
  if (found == m_questions.end()) return;
  for (const std::string& home : found->second.waiting_for) {
    Silence& silence = m_silences[home];
    if (++silence.questions >= kSilentQuestions) {
      silence.until = now + kSilencePause;
    }
  }
  m_questions.erase(found);
}

void PromptDirectory::OnMessage(const std::string& from,
                                const protocol::PromptDirectoryMessage& news,
                                TimePoint now) {
  m_silences.erase(from);
  switch (news.kind) {
    case protocol::PromptDirectoryMessage::Kind::kHeld:
      for (const auto& holder : news.holders) {
        m_known->OnRead(news.part, holder, now);
      }
      return;
    case protocol::PromptDirectoryMessage::Kind::kQuestion:
      m_send(from, {.kind = protocol::PromptDirectoryMessage::Kind::kAnswer,
                    .question = news.question,
                    .part = news.part,
                    .holders = m_known->Holders(news.part, now)});
      return;
    case protocol::PromptDirectoryMessage::Kind::kAnswer:
      OnAnswer(from, news, now);
      return;
  }
}

void PromptDirectory::OnAnswer(const std::string& from,
                               const protocol::PromptDirectoryMessage& news,
                               TimePoint now) {
  const auto found = m_questions.find(news.question);
  if (found == m_questions.end()) return;
  Question& question = found->second;
  if (std::erase(question.waiting_for, from) == 0) return;
  // The newest is remembered last, so that it comes first.
  std::for_each(news.holders.rbegin(), news.holders.rend(),
                [&](const state::BackendServerId& holder) {
                  m_known->OnRead(news.part, holder, now);
                });
  if (news.holders.empty() && !question.waiting_for.empty()) return;
  const auto on_answered = std::move(question.on_answered);
  m_questions.erase(found);
  on_answered();
}

}  // namespace wasabiwall::coordination
