#include "wasabiwall/coordination/crash_records.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFingerprintBytes = 32;
constexpr std::size_t kRecordsPerMessage = 16;

CrashRecord ToMessage(const std::string& fingerprint, std::int64_t crash,
                      std::chrono::microseconds age) {
  return {fingerprint, crash, std::chrono::duration_cast<milliseconds>(age)};
}

}  // namespace

CrashRecords::CrashRecords(CrashRecordsOptions options) : m_options(options) {}

void CrashRecords::Observe(const std::vector<CrashRecord>& records,
                           TimePoint now) {
  if (records.empty()) return;
  const std::size_t count = std::min(records.size(), kRecordsPerMessage);
  const std::lock_guard lock(m_mutex);
  for (std::size_t i = 0; i < count; ++i) {
    const CrashRecord& record = records[i];
    const bool fits = record.fingerprint.size() == kFingerprintBytes &&
                      record.age >= milliseconds(0) &&
                      record.age < m_options.retention;
    if (!fits) continue;
    Insert(record.fingerprint, {record.crash, now - record.age, 0}, now);
  }
}

void CrashRecords::Add(const std::string& fingerprint, std::int64_t crash,
                       TimePoint now) {
  const std::lock_guard lock(m_mutex);
  Insert(fingerprint, {crash, now, 0}, now);
}

void CrashRecords::Withdraw(const std::string& fingerprint,
                            std::int64_t crash) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_table.find(fingerprint);
  if (found == m_table.end()) return;
  m_size -= std::erase_if(found->second, [crash](const Record& record) {
    return record.crash == crash;
  });
  if (found->second.empty()) m_table.erase(found);
}

void CrashRecords::RemoveCrash(std::int64_t crash) {
  const std::lock_guard lock(m_mutex);
  for (auto entry = m_table.begin(); entry != m_table.end();) {
    m_size -= std::erase_if(entry->second, [crash](const Record& record) {
      return record.crash == crash;
    });
    entry = entry->second.empty() ? m_table.erase(entry) : std::next(entry);
  }
}

void CrashRecords::ForgetBefore(const std::string& fingerprint,
                                TimePoint time) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_table.find(fingerprint);
  if (found == m_table.end()) return;
  m_size -= std::erase_if(found->second, [time](const Record& record) {
    return record.crashed_at < time;
  });
  if (found->second.empty()) m_table.erase(found);
}

void CrashRecords::Forget(const std::string& fingerprint) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_table.find(fingerprint);
  if (found == m_table.end()) return;
  m_size -= found->second.size();
  m_table.erase(found);
}

int CrashRecords::Count(const std::string& fingerprint, TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_table.find(fingerprint);
  if (found == m_table.end()) return 0;
  return static_cast<int>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](const Record& record) { return !Expired(record, now); }));
}

std::vector<CrashRecord> CrashRecords::Of(const std::string& fingerprint,
                                          TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  std::vector<CrashRecord> messages;
  const auto found = m_table.find(fingerprint);
  if (found == m_table.end()) return messages;
  for (const Record& record : found->second) {
    if (Expired(record, now)) continue;
    messages.push_back(
        ToMessage(fingerprint, record.crash, now - record.crashed_at));
  }
  return messages;
}

std::vector<CrashRecord> CrashRecords::TakeForPeers(std::size_t max_records,
                                                    TimePoint now) {
  const std::lock_guard lock(m_mutex);
  std::vector<CrashRecord> messages;
  if (m_table.empty()) return messages;
  if (now - m_second_start >= std::chrono::seconds(1)) {
    m_second_start = now;
    m_sent_in_second = 0;
    DropExpired(now);
  }
  const std::size_t room = m_options.records_per_second - m_sent_in_second;
  const std::size_t count = std::min(max_records, room);
  if (count == 0) return messages;
  std::vector<std::pair<const std::string*, Record*>> records;
  for (auto& [fingerprint, crashes] : m_table) {
    for (Record& record : crashes) {
      if (!Expired(record, now)) records.push_back({&fingerprint, &record});
    }
  }
  std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second->sends, a.second->crash) <
           std::pair(b.second->sends, b.second->crash);
  });
  records.resize(std::min(records.size(), count));
  for (const auto& [fingerprint, record] : records) {
    ++record->sends;
    ++m_sent_in_second;
    messages.push_back(
        ToMessage(*fingerprint, record->crash, now - record->crashed_at));
  }
  return messages;
}

std::size_t CrashRecords::Size() const {
  const std::lock_guard lock(m_mutex);
  return m_size;
}

void CrashRecords::Insert(const std::string& fingerprint, const Record& record,
                          TimePoint now) {
  std::vector<Record>& crashes = m_table[fingerprint];
  const bool known = std::any_of(
      crashes.begin(), crashes.end(),
      [&](const Record& other) { return other.crash == record.crash; });
  if (known) return;
  m_size -= std::erase_if(
      crashes, [&](const Record& other) { return Expired(other, now); });
  if (crashes.size() >= m_options.max_records_per_request) return;
  crashes.push_back(record);
  ++m_size;
  if (m_size <= m_options.max_records) return;
  DropExpired(now);
  if (m_size > m_options.max_records) DropOldest();
}

void CrashRecords::DropExpired(TimePoint now) {
  for (auto entry = m_table.begin(); entry != m_table.end();) {
    m_size -= std::erase_if(entry->second, [&](const Record& record) {
      return Expired(record, now);
    });
    entry = entry->second.empty() ? m_table.erase(entry) : std::next(entry);
  }
}

void CrashRecords::DropOldest() {
  const auto oldest = std::min_element(
      m_table.begin(), m_table.end(), [](const auto& a, const auto& b) {
        return a.second.back().crashed_at < b.second.back().crashed_at;
      });
  m_size -= oldest->second.size();
  m_table.erase(oldest);
}

bool CrashRecords::Expired(const Record& record, TimePoint now) const {
  return now - record.crashed_at >= m_options.retention;
}

}  // namespace wasabiwall::coordination
