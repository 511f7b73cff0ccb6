#include "wasabiwall/coordination/prompt_part_evidence.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Records kept of a part, more than any verdict needs.
constexpr std::size_t kMaxRecordsPerPart = 32;
/// Costs of a suspect, as logarithms of how much less likely each makes it. The
/// first is that of leaving all crashes unexplained that another suspect was in
/// flight at: records are lost on their way, and some crashes are ordinary
/// ones.
constexpr double kUnexplainedCost = 6;
constexpr double kAnsweredBeforeCost = 3;
/// Share of the crashes of a part that another part must explain. One that
/// explains fewer may have been taken for a cause wrongly.
constexpr double kExplainedShare = 0.75;
/// Parts among which one with few records is looked for to make room.
constexpr int kEvictionCandidates = 16;

}  // namespace

PromptPartEvidence::PromptPartEvidence(PromptPartEvidenceOptions options)
    : m_options(options),
      m_answered(options.min_answered),
      m_established(options.min_answered) {}

void PromptPartEvidence::OnCrash(std::uint64_t part, std::int64_t crash,
                                 TimePoint at, TimePoint now, int calls,
                                 std::optional<TimePoint> sent_at) {
  const auto answered = AnsweredRequestSentAt(part);
  if (answered && *answered > at) return;
  if (now - at >= m_options.retention) return;
  m_last_change_at = std::max(m_last_change_at, at);
  if (m_records.size() >= m_options.max_parts && !m_records.contains(part)) {
    MakeRoom(crash, now);
  }
  Records& records = m_records[part];
  const auto known = std::ranges::find(records, crash, &Record::crash);
  if (known != records.end()) {
    known->calls += calls;
    known->sent_at = std::max(known->sent_at, sent_at);
    return;
  }
  std::erase_if(records,
                [&](const Record& record) { return IsExpired(record, now); });
  // The first and the last crash tell how long it has gone on.
  if (records.size() >= kMaxRecordsPerPart) records.pop_back();
  const auto later = std::ranges::upper_bound(records, at, {}, &Record::at);
  records.insert(later, {.crash = crash,
                         .at = at,
                         .known_at = now,
                         .calls = calls,
                         .sent_at = sent_at});
  m_last_record_at = now;
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
  m_answered.Set(part, sent_at);
  const auto found = m_records.find(part);
  if (found == m_records.end()) return false;
  const bool is_cleared =
      std::erase_if(found->second, [sent_at](const Record& record) {
        return record.at < sent_at;
      }) > 0;
  if (found->second.empty()) m_records.erase(found);
  return is_cleared;
}

bool PromptPartEvidence::OnEstablished(std::uint64_t part, TimePoint sent_at) {
  const auto before = m_established.Find(part);
  m_established.Set(part, sent_at);
  const auto found = m_records.find(part);
  return found != m_records.end() &&
         std::ranges::any_of(found->second, [&](const Record& record) {
           return record.at < sent_at && (!before || record.at >= *before);
         });
}

std::optional<TimePoint> PromptPartEvidence::AnsweredRequestSentAt(
    std::uint64_t part) const {
  return m_answered.Find(part);
}

PromptPartEvidence::Records PromptPartEvidence::CurrentOf(std::uint64_t part,
                                                          TimePoint now) const {
  Records current;
  const auto found = m_records.find(part);
  if (found == m_records.end()) return current;
  std::ranges::copy_if(
      found->second, std::back_inserter(current),
      [&](const Record& record) { return !IsExpired(record, now); });
  return current;
}

std::size_t PromptPartEvidence::CountSettled(const Records& records,
                                             TimePoint now) const {
  const auto count = std::ranges::count_if(records, [&](const Record& record) {
    return now - record.known_at >= m_options.settle_time ||
           IsExplained(record.crash, now);
  });
  return static_cast<std::size_t>(count);
}

PromptPartEvidence::Records PromptPartEvidence::Unexplained(
    Records records, TimePoint now) const {
  std::erase_if(records, [&](const Record& record) {
    return IsExplained(record.crash, now);
  });
  return records;
}

PromptPartEvidence::Records PromptPartEvidence::NotExplainedTogether(
    std::uint64_t part, Records records, TimePoint now) const {
  std::unordered_map<std::uint64_t, int> explained;
  for (const Record& record : records) {
    for (const std::uint64_t cause :
         m_explanations.CausesOf(record.crash, now)) {
      ++explained[cause];
    }
  }
  const auto crashes = CountSettled(records, now);
  std::erase_if(explained, [&](const auto& entry) {
    const auto& [cause, count] = entry;
    return cause != part &&
           count < kExplainedShare * static_cast<double>(crashes) &&
           m_explanations.CountOf(cause) < crashes;
  });
  std::erase_if(records, [&](const Record& record) {
    return std::ranges::any_of(
        m_explanations.CausesOf(record.crash, now),
        [&](std::uint64_t cause) { return explained.contains(cause); });
  });
  return records;
}

PromptPartEvidence::Records PromptPartEvidence::Strong(
    std::uint64_t part, const Records& records) const {
  const auto established_at = m_established.Find(part);
  Records strong;
  std::ranges::copy_if(
      records, std::back_inserter(strong), [&](const Record& record) {
        return record.calls > 0 &&
               (!established_at || record.at >= *established_at);
      });
  return strong;
}

std::optional<PromptPartEvidence::Suspect> PromptPartEvidence::SuspectOf(
    std::uint64_t part, TimePoint now) const {
  const auto needed = AnsweredRequestSentAt(part)
                          ? m_options.crashes_if_answered_before
                          : m_options.crashes;
  Records records = CurrentOf(part, now);
  Records strong = NotExplainedTogether(part, Strong(part, records), now);
  if (Moments(strong) >= needed) {
    return Suspect{.part = part, .records = std::move(strong)};
  }
  records = Unexplained(std::move(records), now);
  if (Moments(records) < std::max(needed, m_options.crashes_if_established)) {
    return std::nullopt;
  }
  return Suspect{
      .part = part, .records = std::move(records), .is_last_resort = true};
}

double PromptPartEvidence::CostOf(const Suspect& suspect,
                                  std::size_t most_crashes) const {
  int calls = 0;
  for (const Record& record : suspect.records) calls += record.calls;
  const auto crashes = static_cast<double>(suspect.records.size());
  const double unexplained = 1 - crashes / static_cast<double>(most_crashes);
  // A part that many requests hold is the less likely to be a cause.
  double cost =
      std::log(std::max(1, calls) / crashes) + kUnexplainedCost * unexplained;
  if (AnsweredRequestSentAt(suspect.part)) cost += kAnsweredBeforeCost;
  return cost;
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
  const auto suspect = SuspectOf(part, now);
  return suspect && now >= SuspectAt(part, suspect->records);
}

int PromptPartEvidence::MostCalls(const Records& records) {
  return std::ranges::max_element(records, {}, &Record::calls)->calls;
}

std::vector<LikelyCause> PromptPartEvidence::LikelyCauses(TimePoint now) const {
  const auto fewest_needed = static_cast<std::size_t>(
      std::min(m_options.crashes, m_options.crashes_if_answered_before));
  std::size_t most_crashes = 0;
  bool is_last_resort = true;
  std::vector<Suspect> suspects;
  for (const auto& [part, records] : m_records) {
    if (records.size() < fewest_needed) continue;
    auto suspect = SuspectOf(part, now);
    if (!suspect || (suspect->is_last_resort && !is_last_resort)) continue;
    if (!suspect->is_last_resort && std::exchange(is_last_resort, false)) {
      suspects.clear();
      most_crashes = 0;
    }
    most_crashes = std::max(most_crashes, suspect->records.size());
    suspects.push_back(std::move(*suspect));
  }
  double lowest_cost = std::numeric_limits<double>::max();
  for (Suspect& suspect : suspects) {
    suspect.cost = CostOf(suspect, most_crashes);
    lowest_cost = std::min(lowest_cost, suspect.cost);
  }
  std::vector<LikelyCause> causes;
  for (const Suspect& suspect : suspects) {
    if (suspect.cost > lowest_cost) continue;
    if (now < SuspectAt(suspect.part, suspect.records)) return {};
    LikelyCause cause{.part = suspect.part,
                      .first_crash_at = suspect.records.front().at,
                      .is_last_resort = suspect.is_last_resort};
    for (const Record& record : suspect.records) {
      cause.crashes.push_back(record.crash);
    }
    causes.push_back(std::move(cause));
  }
  return causes;
}

int PromptPartEvidence::Moments(const Records& records) const {
  int moments = 0;
  TimePoint counted;
  for (const Record& record : records) {
    const bool is_repeat =
        record.sent_at && *record.sent_at + m_options.send_time_error > counted;
    if (moments > 0 && !is_repeat &&
        record.at - counted < m_options.same_moment) {
      continue;
    }
    ++moments;
    counted = record.at;
  }
  return moments;
}

std::vector<std::int64_t> PromptPartEvidence::CrashesOf(std::uint64_t part,
                                                        TimePoint now) const {
  std::vector<std::int64_t> crashes;
  for (const Record& record : Unexplained(CurrentOf(part, now), now)) {
    crashes.push_back(record.crash);
  }
  return crashes;
}

void PromptPartEvidence::Withdraw(std::uint64_t cause) {
  if (m_explanations.Withdraw(cause)) m_has_withdrawn = true;
}

void PromptPartEvidence::StartJudgement(TimePoint now) {
  if (!std::exchange(m_has_withdrawn, false)) return;
  m_last_change_at = std::max(m_last_change_at, now);
}

}  // namespace wasabiwall::coordination
