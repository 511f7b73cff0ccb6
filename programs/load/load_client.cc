#include "load/load_client.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::load {
namespace {

using nlohmann::json;
using transport::HttpClient;
using transport::HttpRequest;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kCallTimeout{90};

std::chrono::microseconds Since(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                               start);
}

/// Reads an error answer of the table.
CallRecord ReadError(const std::string& body) {
  CallRecord record;
  record.verdict = Verdict::kFailed;
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) return record;
  const json& error = parsed["error"];
  record.error_kind = error.value("type", "");
  record.retry_after =
      std::chrono::milliseconds(error.value("retry_after_ms", 0));
  const bool refused =
      error.value("not_run", false) && record.retry_after.count() > 0;
  if (refused) record.verdict = Verdict::kRefused;
  return record;
}

/// Collects the events of a streamed chat.
class StreamReader {
 public:
  void Add(std::string_view data) {
    m_buffer.append(data);
    std::size_t end = 0;
    while ((end = m_buffer.find('\n')) != std::string::npos) {
      ReadLine(m_buffer.substr(0, end));
      m_buffer.erase(0, end + 1);
    }
  }

  /// @return Whether the text is exactly the answer to the prompt.
  bool IsAnswerTo(const std::string& prompt, int words) const {
    std::string expected;
    for (int i = 0; i < words; ++i) expected += ExpectedWord(prompt, i);
    return m_done && m_text == expected;
  }

  const std::optional<std::string>& Error() const { return m_error; }
  const json& Usage() const { return m_usage; }

 private:
  void ReadLine(const std::string& line) {
    if (line == "event: error") m_in_error = true;
    if (line.rfind("data: ", 0) != 0) return;
    const std::string data = line.substr(6);
    if (m_in_error) m_error = data;
    if (data == "[DONE]") m_done = true;
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) return;
    m_usage = event.value("usage", m_usage);
    for (const json& choice : event.value("choices", json::array())) {
      m_text += choice.value("delta", json::object()).value("content", "");
    }
  }

  std::string m_buffer;
  std::string m_text;
  json m_usage = json::object();
  std::optional<std::string> m_error;
  bool m_in_error = false;
  bool m_done = false;
};

}  // namespace

std::string ExpectedWord(const std::string& prompt, int index) {
  char text[48];
  std::snprintf(text, sizeof(text), "w%d-%016llx ", index,
                static_cast<unsigned long long>(  // NOLINT: type of printf
                    state::FastHash(prompt)));
  return text;
}

LoadClient::LoadClient(const LoadOptions& options) : m_options(options) {}

CallRecord LoadClient::Make(const LoadCall& call,
                            const std::string& entry) const {
  return call.type == CallType::kChat ? MakeChat(call, entry)
                                      : MakeServiceCall(call, entry);
}

CallRecord LoadClient::MakeChat(const LoadCall& call,
                                const std::string& entry) const {
  json messages = json::array();
  for (const std::string& message : call.messages) {
    messages.push_back({{"role", "user"}, {"content", message}});
  }
  HttpRequest request;
  request.method = "POST";
  request.url = entry + "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer " + m_options.token},
                     {"X-Chat-Id", call.id}};
  request.body = json{
      {"model", m_options.model},
      {"stream", true},
      {"max_tokens", m_options.max_tokens},
      {"messages",
       messages}}.dump();
  request.total_timeout = kCallTimeout;
  const auto start = Clock::now();
  std::chrono::microseconds first_byte{0};
  int status = 0;
  std::string error_body;
  StreamReader reader;
  request.on_head = [&](int code, const std::string&) { status = code; };
  request.on_data = [&](std::string_view data) {
    if (first_byte.count() == 0) first_byte = Since(start);
    if (status != 200) {
      error_body.append(data);
      return;
    }
    reader.Add(data);
  };
  const auto response = HttpClient::Send(request);
  CallRecord record;
  if (status != 0 && status != 200) {
    record = ReadError(error_body);
  } else if (reader.Error()) {
    record = ReadError(*reader.Error());
    record.verdict = Verdict::kFailed;
  } else if (response) {
    const bool right =
        reader.IsAnswerTo(call.messages.back(), m_options.max_tokens);
    record.verdict = right ? Verdict::kAnswered : Verdict::kWrong;
    record.prompt_tokens = reader.Usage().value("prompt_tokens", 0);
    record.cached_tokens = reader.Usage()
                               .value("prompt_tokens_details", json::object())
                               .value("cached_tokens", 0);
  }
  record.first_byte = first_byte;
  record.total = Since(start);
  return record;
}

CallRecord LoadClient::MakeServiceCall(const LoadCall& call,
                                       const std::string& entry) const {
  const bool booking = call.type == CallType::kBooking;
  HttpRequest request;
  request.method = "POST";
  request.url = entry + "/v1/services/" + m_options.service + "/" +
                (booking ? m_options.booking_call : m_options.look_up_call);
  request.headers = {{"Authorization", "Bearer " + m_options.token}};
  if (booking) request.headers.push_back({"Idempotency-Key", call.id});
  request.body = call.messages.front();
  request.total_timeout = kCallTimeout;
  const auto start = Clock::now();
  const auto response = HttpClient::Send(request);
  CallRecord record;
  if (response && response->status != 200) record = ReadError(response->body);
  if (response && response->status == 200) {
    const json answer = json::parse(response->body, nullptr, false);
    const bool right =
        answer.is_object() && answer.value("echo", "") == request.body &&
        (!booking ||
         (answer.value("key", "") == call.id && answer.value("run", 0) == 1));
    record.verdict = right ? Verdict::kAnswered : Verdict::kWrong;
  }
  record.total = Since(start);
  record.first_byte = record.total;
  return record;
}

}  // namespace wasabiwall::load
