#include "wasabiwall/coordination/crash_record_codec.h"

#include <algorithm>
#include <iterator>

namespace wasabiwall::coordination {

std::vector<CrashRecord> FromThrift(
    const std::vector<protocol::gen::CrashRecord>& messages) {
  std::vector<CrashRecord> records;
  records.reserve(messages.size());
  std::ranges::transform(
      messages, std::back_inserter(records), [](const auto& message) {
        return CrashRecord{message.fingerprint, message.crash,
                           std::chrono::milliseconds(message.age_ms)};
      });
  return records;
}

std::vector<protocol::gen::CrashRecord> ToThrift(
    const std::vector<CrashRecord>& records) {
  std::vector<protocol::gen::CrashRecord> messages;
  messages.reserve(records.size());
  std::ranges::transform(records, std::back_inserter(messages),
                         [](const CrashRecord& record) {
                           protocol::gen::CrashRecord message;
                           message.fingerprint = record.fingerprint;
                           message.crash = record.crash;
                           message.age_ms = record.age.count();
                           return message;
                         });
  return messages;
}

}  // namespace wasabiwall::coordination
