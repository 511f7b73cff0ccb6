#include "wasabiwall/coordination/idempotency_record.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using State = IdempotencyRecord::State;

constexpr const char* kStateNames[] = {"intent", "done", "withdrawn"};

std::optional<State> ParseState(const std::string& name) {
  for (const State state : {State::kIntent, State::kDone, State::kWithdrawn}) {
    if (name == kStateNames[static_cast<int>(state)]) return state;
  }
  return std::nullopt;
}

void WriteOutcome(const RecordedOutcome& outcome, nlohmann::json* json) {
  const state::AttemptEnd& end = outcome.end;
  (*json)["kind"] = end.error_kind;
  (*json)["detail"] = end.detail;
  (*json)["status"] = end.http_status;
  (*json)["type"] = end.content_type;
  (*json)["body"] = nlohmann::json::binary(
      std::vector<std::uint8_t>(outcome.body.begin(), outcome.body.end()));
}

RecordedOutcome ReadOutcome(const nlohmann::json& json) {
  RecordedOutcome outcome;
  outcome.end.error_kind = json.at("kind");
  outcome.end.detail = json.at("detail");
  outcome.end.http_status = json.at("status");
  outcome.end.content_type = json.at("type");
  const auto& bytes = json.at("body").get_binary();
  outcome.body.assign(bytes.begin(), bytes.end());
  outcome.end.total_bytes = static_cast<std::int64_t>(outcome.body.size());
  outcome.end.digest = state::Sha256Hex(outcome.body);
  return outcome;
}

}  // namespace

RecordedOutcome LimitOutcomeSize(RecordedOutcome outcome) {
  if (outcome.body.size() <= kMaxRecordedBodyBytes) return outcome;
  RecordedOutcome replacement;
  replacement.end.error_kind =
      protocol::RowOf(protocol::ErrorKind::kOutcomeUnknown).name;
  replacement.end.detail = "the call has run; its answer was too large to keep";
  replacement.end.digest = state::Sha256Hex("");
  return replacement;
}

std::string EncodeIdempotencyRecord(const IdempotencyRecord& record) {
  nlohmann::json json = {
      {"process", record.intent.process},
      {"number", record.intent.number},
      {"digest", record.body_digest},
      {"state", kStateNames[static_cast<int>(record.state)]}};
  if (record.state == State::kDone) WriteOutcome(record.outcome, &json);
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<IdempotencyRecord> DecodeIdempotencyRecord(
    const std::string& bytes) {
  const nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
  if (!json.is_object()) return std::nullopt;
  try {
    IdempotencyRecord record;
    record.intent.process = json.at("process");
    record.intent.number = json.at("number");
    record.body_digest = json.at("digest");
    const auto state = ParseState(json.at("state"));
    if (!state) return std::nullopt;
    record.state = *state;
    if (record.state == State::kDone) record.outcome = ReadOutcome(json);
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::coordination
