#include "wasabiwall/transport/key_value_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/transport/base64.h"
#include "wasabiwall/transport/http_client.h"
#include "wasabiwall/transport/key_value_outcome.h"

namespace wasabiwall::transport {
namespace {

using nlohmann::json;
using state::KeyValueEntry;
using state::KeyValueFailure;
using state::KeyValueResult;

using Kind = KeyValueCallKind;

constexpr std::chrono::hours kWatchTimeout{1};
constexpr int kOk = 200;
/// Reads tried again for each call, and how many may be saved up.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10.0;
constexpr std::int64_t kMaxResponseBytes = 256 << 20;

/// Reads a 64-bit integer, which the interface writes as a string.
std::int64_t ReadInt(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) return 0;
  if (found->is_number_integer()) return found->get<std::int64_t>();
  if (!found->is_string()) return 0;
  return std::strtoll(found->get_ref<const std::string&>().c_str(), nullptr,
                      10);
}

std::string ReadBytes(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return "";
  return DecodeBase64(found->get_ref<const std::string&>()).value_or("");
}

std::int64_t ReadRevision(const json& response) {
  const auto header = response.find("header");
  return header == response.end() ? 0 : ReadInt(*header, "revision");
}

KeyValueEntry ReadEntry(const json& kv) {
  KeyValueEntry entry;
  entry.key = ReadBytes(kv, "key");
  entry.value = ReadBytes(kv, "value");
  entry.create_revision = ReadInt(kv, "create_revision");
  entry.mod_revision = ReadInt(kv, "mod_revision");
  entry.lease = ReadInt(kv, "lease");
  return entry;
}

std::vector<KeyValueEntry> ReadEntries(const json& range) {
  std::vector<KeyValueEntry> entries;
  const auto kvs = range.find("kvs");
  if (kvs == range.end()) return entries;
  for (const json& kv : *kvs) entries.push_back(ReadEntry(kv));
  return entries;
}

/// First key after all keys that start with `prefix`.
std::string PrefixEnd(std::string prefix) {
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

json RangeBody(const state::KeyValueRange& range) {
  json body = {{"key", EncodeBase64(range.key)}};
  if (range.prefix) body["range_end"] = EncodeBase64(PrefixEnd(range.key));
  if (range.min_mod_revision > 0) {
    body["min_mod_revision"] = std::to_string(range.min_mod_revision);
  }
  return body;
}

json TxnBody(const state::KeyValueTxn& txn) {
  json compares = json::array();
  for (const state::KeyValueCompare& compare : txn.compares) {
    compares.push_back(
        {{"key", EncodeBase64(compare.key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(compare.mod_revision)}});
  }
  for (const state::KeyValueCreateCompare& compare : txn.create_compares) {
    compares.push_back(
        {{"key", EncodeBase64(compare.key)},
         {"target", "CREATE"},
         {"result", "EQUAL"},
         {"create_revision", std::to_string(compare.create_revision)}});
  }
  json success = json::array();
  for (const state::KeyValueWrite& write : txn.writes) {
    if (write.remove) {
      success.push_back(
          {{"request_delete_range", {{"key", EncodeBase64(write.key)}}}});
      continue;
    }
    json put = {{"key", EncodeBase64(write.key)},
                {"value", EncodeBase64(write.value)}};
    if (write.lease != 0) put["lease"] = std::to_string(write.lease);
    success.push_back({{"request_put", put}});
  }
  json failure = json::array();
  for (const std::string& key : txn.reads_on_failure) {
    failure.push_back({{"request_range", {{"key", EncodeBase64(key)}}}});
  }
  return {{"compare", compares}, {"success", success}, {"failure", failure}};
}

std::vector<state::KeyValueEvent> ReadEvents(const json& message) {
  std::vector<state::KeyValueEvent> events;
  const auto result = message.find("result");
  if (result == message.end()) return events;
  for (const json& event : result->value("events", json::array())) {
    events.push_back({event.value("type", "PUT") == "DELETE",
                      ReadEntry(event.value("kv", json::object()))});
  }
  return events;
}

}  // namespace

/// Sends the calls; shared by the hooks.
class KeyValueClient::Connection {
 public:
  explicit Connection(KeyValueClientOptions options)
      : m_options(std::move(options)) {}

  KeyValueResult<json> Call(KeyValueCallKind kind, const char* path,
                            const json& body) {
    const auto deadline = Clock::now() + m_options.call_timeout;
    m_retries.OnFirstAttempt();
    KeyValueResult<json> result = Send(kind, path, body, deadline);
    const int tries =
        kind == KeyValueCallKind::kRead ? m_options.max_read_tries : 1;
    for (int i = 1; i < tries && !result; ++i) {
      const std::chrono::milliseconds wait = RetryWait();
      if (Clock::now() + wait >= deadline || !m_retries.Take()) break;
      std::this_thread::sleep_for(wait);
      result = Send(kind, path, body, deadline);
    }
    return result;
  }

  KeyValueResult<bool> Watch(
      const std::string& prefix, std::int64_t start_revision,
      const std::function<bool(const std::vector<state::KeyValueEvent>&)>&
          on_events) {
    ++m_calls;
    const json create = {{"key", EncodeBase64(prefix)},
                         {"range_end", EncodeBase64(PrefixEnd(prefix))},
                         {"start_revision", std::to_string(start_revision)}};
    HttpRequest request = Request("/v3/watch", {{"create_request", create}});
    request.total_timeout = kWatchTimeout;
    bool stopped = false;
    std::string buffer;
    request.on_data = [&](std::string_view data) {
      buffer.append(data);
      std::size_t end = 0;
      while (!stopped && (end = buffer.find('\n')) != std::string::npos) {
        const json message = json::parse(buffer.substr(0, end), nullptr, false);
        buffer.erase(0, end + 1);
        if (message.is_object()) stopped = !on_events(ReadEvents(message));
      }
    };
    request.cancelled = [&] {
      // An empty batch asks whether the caller still wants the watch.
      if (!stopped) stopped = !on_events({});
      return stopped;
    };
    const auto response = HttpClient::Send(request);
    if (stopped || response) return true;
    return tl::make_unexpected(KeyValueFailure::kNotDone);
  }

  std::int64_t Calls() const { return m_calls; }

 private:
  using Clock = std::chrono::steady_clock;

  KeyValueResult<json> Send(KeyValueCallKind kind, const char* path,
                            const json& body, Clock::time_point deadline) {
    HttpRequest request = Request(path, body);
    request.total_timeout =
        std::max(std::chrono::milliseconds(1),
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     deadline - Clock::now()));
    request.connect_timeout =
        std::min(request.connect_timeout, request.total_timeout);
    ++m_calls;
    const auto response = HttpClient::Send(request);
    if (!response) {
      return tl::make_unexpected(OutcomeOfFailure(kind, response.error()));
    }
    if (response->status != kOk) {
      return tl::make_unexpected(OutcomeOfStatus(kind, response->status));
    }
    json parsed = json::parse(response->body, nullptr, false);
    if (parsed.is_object()) return parsed;
    return tl::make_unexpected(OutcomeOfFailure(kind, HttpFailure::kBroken));
  }

  std::chrono::milliseconds RetryWait() const {
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> wait(
        0, m_options.retry_wait.count());
    return std::chrono::milliseconds(wait(generator));
  }

  HttpRequest Request(const char* path, const json& body) const {
    HttpRequest request;
    request.method = "POST";
    request.url = m_options.url + path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    request.connect_timeout = m_options.connect_timeout;
    request.total_timeout = m_options.call_timeout;
    request.max_response_bytes = kMaxResponseBytes;
    return request;
  }

  KeyValueClientOptions m_options;
  std::atomic<std::int64_t> m_calls{0};
  coordination::RetryBudget m_retries{kRetryShare, kRetryBurst};
};

KeyValueClient::KeyValueClient(KeyValueClientOptions options)
    : m_connection(std::make_shared<Connection>(std::move(options))) {}

std::int64_t KeyValueClient::Calls() const { return m_connection->Calls(); }

state::KeyValueStore KeyValueClient::Store() const {
  state::KeyValueStore store;
  const std::shared_ptr<Connection> connection = m_connection;
  store.range = [connection](const state::KeyValueRange& range)
      -> KeyValueResult<state::KeyValueRangeResult> {
    const auto response =
        connection->Call(Kind::kRead, "/v3/kv/range", RangeBody(range));
    if (!response) return tl::make_unexpected(response.error());
    return state::KeyValueRangeResult{ReadRevision(*response),
                                      ReadEntries(*response)};
  };
  store.txn = [connection](const state::KeyValueTxn& txn)
      -> KeyValueResult<state::KeyValueTxnResult> {
    if (!WithinLimits(txn)) {
      return tl::make_unexpected(KeyValueFailure::kNotDone);
    }
    const auto response =
        connection->Call(Kind::kWrite, "/v3/kv/txn", TxnBody(txn));
    if (!response) return tl::make_unexpected(response.error());
    state::KeyValueTxnResult result;
    result.succeeded = response->value("succeeded", false);
    result.revision = ReadRevision(*response);
    if (result.succeeded) return result;
    for (const json& part : response->value("responses", json::array())) {
      const auto range = part.find("response_range");
      if (range == part.end()) continue;
      for (KeyValueEntry& entry : ReadEntries(*range)) {
        result.entries.push_back(std::move(entry));
      }
    }
    return result;
  };
  store.grant_lease =
      [connection](std::chrono::seconds ttl) -> KeyValueResult<std::int64_t> {
    const auto response =
        connection->Call(Kind::kWrite, "/v3/lease/grant",
                         {{"TTL", std::to_string(ttl.count())}});
    if (!response) return tl::make_unexpected(response.error());
    return ReadInt(*response, "ID");
  };
  store.renew_lease =
      [connection](std::int64_t lease) -> KeyValueResult<std::chrono::seconds> {
    const auto response = connection->Call(Kind::kWrite, "/v3/lease/keepalive",
                                           {{"ID", std::to_string(lease)}});
    if (!response) return tl::make_unexpected(response.error());
    const json result = response->value("result", json::object());
    return std::chrono::seconds(ReadInt(result, "TTL"));
  };
  store.revoke_lease =
      [connection](std::int64_t lease) -> KeyValueResult<bool> {
    const auto response = connection->Call(Kind::kWrite, "/v3/lease/revoke",
                                           {{"ID", std::to_string(lease)}});
    if (!response) return tl::make_unexpected(response.error());
    return true;
  };
  store.watch = [connection](const std::string& prefix,
                             std::int64_t start_revision,
                             const auto& on_events) {
    return connection->Watch(prefix, start_revision, on_events);
  };
  return store;
}

}  // namespace wasabiwall::transport
