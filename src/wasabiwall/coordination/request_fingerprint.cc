#include "wasabiwall/coordination/request_fingerprint.h"

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kFingerprintDigits = 32;

}  // namespace

std::string FingerprintOf(std::initializer_list<std::string_view> parts) {
  state::Sha256Hasher hasher;
  bool is_first = true;
  for (const std::string_view part : parts) {
    if (!is_first) hasher.Add("\n");
    hasher.Add(part);
    is_first = false;
  }
  return hasher.Finish().substr(0, kFingerprintDigits);
}

}  // namespace wasabiwall::coordination
