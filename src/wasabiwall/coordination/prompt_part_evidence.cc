#include "wasabiwall/coordination/prompt_part_evidence.h"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Records kept of a part, more than any verdict needs.
constexpr std::size_t kMaxRecordsPerPart = 32;
/// Share of the crashes of the part with most of them at which the cause must
/// have been in flight. Some records are lost on their way.
constexpr double kWantedCrashShare = 0.75;
/// Parts among which one with few records is looked for to make room.
constexpr int kEvictionCandidates = 16;

}  // namespace

PromptPartEvidence::PromptPartEvidence(PromptPartEvidenceOptions options)
    : m_options(options) {}

void PromptPartEvidence::OnCrash(std::uint64_t part, std::int64_t crash,
                                 TimePoint at, TimePoint now, int calls) {
  const auto answered = AnsweredRequestSentAt(part);
  if (answered && *answered > at) return;
  if (now - at >= m_options.retention) return;
  m_last_crash_at = std::max(m_last_crash_at, at);
  if (m_records.size() >= m_options.max_parts && !m_records.contains(part)) {
    MakeRoom(crash, now);
  }
  Records& records = m_records[part];
  const auto known = std::ranges::find(records, crash, &Record::crash);
  if (known != records.end()) {
    known->calls += calls;
    return;
  }
  std::erase_if(records,
                [&](const Record& record) { return IsExpired(record, now); });
  // The first and the last crash tell how long it has gone on.
  if (records.size() >= kMaxRecordsPerPart) records.pop_back();
  const auto later = std::ranges::upper_bound(records, at, {}, &Record::at);
  records.insert(later, {crash, at, calls});
}

void PromptPartEvidence::MakeRoom(std::int64_t crash, TimePoint now) {
  // A random choice, so that many new parts in flight at one crash do not
  // displace the cause each time.
  const std::array<char, sizeof crash> bytes =
      std::bit_cast<std::array<char, sizeof crash>>(crash);
  const std::size_t start =
      state::FastHash({bytes.data(), bytes.size()}, m_records.size()) %
      m_records.bucket_count();
  const auto last_crash = [&](std::uint64_t part) {
    return m_records.at(part).back().at;
  };
  std::optional<std::uint64_t> evicted;
  std::size_t fewest = kMaxRecordsPerPart + 1;
  int candidates = 0;
  for (std::size_t i = 0;
       candidates < kEvictionCandidates && i < m_records.bucket_count(); ++i) {
    const std::size_t bucket = (start + i) % m_records.bucket_count();
    for (auto entry = m_records.begin(bucket); entry != m_records.end(bucket);
         ++entry) {
      ++candidates;
      const bool is_expired =
          now - last_crash(entry->first) >= m_options.retention;
      const std::size_t count = is_expired ? 0 : entry->second.size();
      if (count >= fewest) continue;
      fewest = count;
      evicted = entry->first;
    }
  }
  if (evicted) m_records.erase(*evicted);
}

bool PromptPartEvidence::OnAnswered(std::uint64_t part, TimePoint sent_at) {
  if (m_answered.size() >= m_options.min_answered) {
    m_answered_before = std::exchange(m_answered, {});
  }
  const auto [entry, is_new] = m_answered.try_emplace(part, sent_at);
  entry->second = std::max(entry->second, sent_at);
  const auto found = m_records.find(part);
  if (found == m_records.end()) return false;
  const bool is_cleared =
      std::erase_if(found->second, [sent_at](const Record& record) {
        return record.at < sent_at;
      }) > 0;
  if (found->second.empty()) m_records.erase(found);
  return is_cleared;
}

std::optional<TimePoint> PromptPartEvidence::AnsweredRequestSentAt(
    std::uint64_t part) const {
  const auto found = m_answered.find(part);
  if (found != m_answered.end()) return found->second;
  const auto before = m_answered_before.find(part);
  if (before != m_answered_before.end()) return before->second;
  return std::nullopt;
}

bool PromptPartEvidence::HasEnoughCrashes(std::uint64_t part,
                                          const Records& records,
                                          TimePoint now) const {
  return Moments(records, now) >= (AnsweredRequestSentAt(part)
                                       ? m_options.crashes_if_answered_before
                                       : m_options.crashes);
}

TimePoint PromptPartEvidence::SuspectAt(std::uint64_t part,
                                        const Records& records) const {
  TimePoint at = records.front().at;
  if (AnsweredRequestSentAt(part)) at += m_options.wait_if_answered_before;
  constexpr int most_waits = 2;
  const int waits =
      std::min(MostCalls(records) / m_options.popular_calls, most_waits);
  return at + waits * m_options.wait_if_popular;
}

bool PromptPartEvidence::IsSuspect(std::uint64_t part, TimePoint now) const {
  const auto found = m_records.find(part);
  return found != m_records.end() &&
         HasEnoughCrashes(part, found->second, now) &&
         now >= SuspectAt(part, found->second);
}

int PromptPartEvidence::MostCalls(const Records& records) {
  return std::ranges::max_element(records, {}, &Record::calls)->calls;
}

std::vector<std::uint64_t> PromptPartEvidence::LikelyCauses(
    TimePoint now) const {
  std::size_t most_crashes = 0;
  std::vector<std::uint64_t> suspects;
  for (const auto& [part, records] : m_records) {
    if (!HasEnoughCrashes(part, records, now)) continue;
    most_crashes = std::max(most_crashes, records.size());
    suspects.push_back(part);
  }
  std::vector<std::uint64_t> causes;
  int fewest_calls = 0;
  for (const std::uint64_t part : suspects) {
    const Records& records = m_records.at(part);
    const auto wanted = kWantedCrashShare * static_cast<double>(most_crashes);
    if (static_cast<double>(records.size()) < wanted) continue;
    int calls = 0;
    for (const Record& record : records) calls += record.calls;
    if (causes.empty() || calls < fewest_calls) {
      causes.clear();
      fewest_calls = calls;
    }
    if (calls == fewest_calls) causes.push_back(part);
  }
  const bool may_be_cleared =
      std::ranges::any_of(causes, [&](std::uint64_t part) {
        return now < SuspectAt(part, m_records.at(part));
      });
  if (may_be_cleared) causes.clear();
  return causes;
}

int PromptPartEvidence::Moments(const Records& records, TimePoint now) const {
  int moments = 0;
  TimePoint counted;
  for (const Record& record : records) {
    if (IsExpired(record, now)) continue;
    if (moments > 0 && record.at - counted < m_options.same_moment) continue;
    ++moments;
    counted = record.at;
  }
  return moments;
}

std::vector<std::int64_t> PromptPartEvidence::CrashesOf(
    std::uint64_t part) const {
  std::vector<std::int64_t> crashes;
  const auto found = m_records.find(part);
  if (found == m_records.end()) return crashes;
  for (const Record& record : found->second) crashes.push_back(record.crash);
  return crashes;
}

std::size_t PromptPartEvidence::PartsWith(std::int64_t crash) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_records, [crash](const auto& entry) {
        return std::ranges::find(entry.second, crash, &Record::crash) !=
               entry.second.end();
      }));
}

std::optional<TimePoint> PromptPartEvidence::FirstCrashAt(
    std::uint64_t part) const {
  const auto found = m_records.find(part);
  if (found == m_records.end() || found->second.empty()) return std::nullopt;
  return found->second.front().at;
}

void PromptPartEvidence::RemoveCrash(std::int64_t crash,
                                     std::size_t most_crashes) {
  for (auto entry = m_records.begin(); entry != m_records.end();) {
    Records& records = entry->second;
    if (records.size() <= most_crashes) {
      std::erase_if(records, [crash](const Record& record) {
        return record.crash == crash;
      });
    }
    entry = records.empty() ? m_records.erase(entry) : std::next(entry);
  }
}

}  // namespace wasabiwall::coordination
