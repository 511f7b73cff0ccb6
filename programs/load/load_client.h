#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "load/load_options.h"

namespace wasabiwall::load {

/// Kind of a call.
enum class CallType { kChat, kBooking, kLookUp };

/// One call to be made.
struct LoadCall {
  CallType type = CallType::kChat;
  /// Chat identifier, or key of a booking.
  std::string id;
  /// Messages of a chat so far, or the body of a plain call.
  std::vector<std::string> messages;
  int turn = 0;
  int tries = 0;
};

/// What became of a call.
enum class Verdict {
  kAnswered,
  /// Refused with a time to come back.
  kRefused,
  /// An explicit error.
  kFailed,
  /// No final answer before the time limit.
  kLost,
  /// An answer that is not the one to this call, or that is not whole.
  kWrong,
};

struct CallRecord {
  Verdict verdict = Verdict::kLost;
  std::string error_kind;
  std::chrono::milliseconds retry_after{0};
  std::chrono::microseconds first_byte{0};
  std::chrono::microseconds total{0};
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
};

/// Makes calls and checks each answer against what was asked.
class LoadClient {
 public:
  explicit LoadClient(const LoadOptions& options);

  /// Makes one call and waits for its end.
  /// @param entry Base URL of the entry.
  CallRecord Make(const LoadCall& call, const std::string& entry) const;

 private:
  CallRecord MakeChat(const LoadCall& call, const std::string& entry) const;
  CallRecord MakeServiceCall(const LoadCall& call,
                             const std::string& entry) const;

  const LoadOptions& m_options;
};

/// Word that a stand-in engine answers at a position.
std::string ExpectedWord(const std::string& prompt, int index);

}  // namespace wasabiwall::load
