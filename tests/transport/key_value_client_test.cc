#include "wasabiwall/transport/key_value_client.h"

#include <atomic>
#include <catch2/catch.hpp>

#include "fakes/test_port.h"
#include "standins/support/fake_key_value.h"
#include "wasabiwall/transport/http_server.h"
#include "wasabiwall/transport/key_value_outcome.h"

namespace wasabiwall::transport {

using state::KeyValueFailure;
using Kind = KeyValueCallKind;

namespace {

/// Offset of the first test port; each server has a port of its own.
constexpr int kFirstPort = 8;

/// A service that fails a number of times with one answer, then succeeds.
class Service {
 public:
  Service(int port, int status, std::string body, int failures)
      : m_status(status),
        m_body(std::move(body)),
        m_failures(failures),
        m_address(fakes::TestAddress(port)),
        m_server({.address = m_address, .worker_threads = 2},
                 [this](const auto&, const auto& response) {
                   const bool failed = m_failures-- > 0;
                   response->Send(failed ? m_status : 200, "application/json",
                                  failed ? m_body : "{}", {});
                 }) {
    REQUIRE(m_server.Start());
  }
  ~Service() { m_server.Stop(std::chrono::milliseconds(0)); }

  std::string Url() const { return "http://" + m_address; }

 private:
  int m_status;
  std::string m_body;
  std::atomic<int> m_failures;
  std::string m_address;
  HttpServer m_server;
};

KeyValueClient MakeClient(const std::string& url) {
  return KeyValueClient({.url = url, .retry_wait = {}});
}

}  // namespace

TEST_CASE("a read is never in doubt and a write only when it may have effect",
          "[key_value_client]") {
  const KeyValueFailure not_done = KeyValueFailure::kNotDone;
  const KeyValueFailure unknown = KeyValueFailure::kUnknown;
  struct StatusRow {
    int status;
    KeyValueFailure write;
  };
  for (const StatusRow& row : std::vector<StatusRow>{{400, not_done},
                                                     {401, not_done},
                                                     {404, not_done},
                                                     {408, unknown},
                                                     {413, not_done},
                                                     {429, not_done},
                                                     {499, unknown},
                                                     {500, unknown},
                                                     {503, unknown},
                                                     {504, unknown},
                                                     {302, unknown}}) {
    CAPTURE(row.status);
    CHECK(OutcomeOfStatus(Kind::kWrite, row.status) == row.write);
    CHECK(OutcomeOfStatus(Kind::kRead, row.status) == not_done);
  }
  struct FailureRow {
    HttpFailure failure;
    KeyValueFailure write;
  };
  for (const FailureRow& row :
       std::vector<FailureRow>{{HttpFailure::kNotConnected, not_done},
                               {HttpFailure::kBroken, unknown},
                               {HttpFailure::kTimeout, unknown},
                               {HttpFailure::kTooLarge, unknown},
                               {HttpFailure::kCancelled, unknown}}) {
    CHECK(OutcomeOfFailure(Kind::kWrite, row.failure) == row.write);
    CHECK(OutcomeOfFailure(Kind::kRead, row.failure) == not_done);
  }
}

TEST_CASE("reads are tried again, writes are sent once", "[key_value_client]") {
  struct Row {
    int status;
    const char* body;
    int failures;
    bool read_done;
    std::int64_t read_calls;
  };
  int port = kFirstPort;
  for (const Row& row : std::vector<Row>{{503, "{}", 2, true, 3},
                                         {200, "not json", 1, true, 2},
                                         {500, "{}", 9, false, 3}}) {
    CAPTURE(row.status);
    Service for_read(port++, row.status, row.body, row.failures);
    const KeyValueClient reader = MakeClient(for_read.Url());
    CHECK(reader.Store().range({.key = "a"}).has_value() == row.read_done);
    CHECK(reader.Calls() == row.read_calls);

    Service for_write(port++, row.status, row.body, row.failures);
    const KeyValueClient writer = MakeClient(for_write.Url());
    const auto written = writer.Store().txn({.writes = {{"a", "1"}}});
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error() == KeyValueFailure::kUnknown);
    CHECK(writer.Calls() == 1);
  }
}

TEST_CASE("a transaction above the limits is refused without a call",
          "[key_value_client]") {
  state::KeyValueTxn most;
  for (std::size_t i = 0; i < kMaxTxnOperations; ++i) {
    const std::string key = std::to_string(i);
    most.compares.push_back({key, 0});
    most.writes.push_back({key, "1"});
    most.reads_on_failure.push_back(key);
  }
  CHECK(WithinLimits(most));
  state::KeyValueTxn compares = most;
  compares.create_compares.push_back({"one more", 0});
  state::KeyValueTxn writes = most;
  writes.writes.push_back({"one more", "1"});
  state::KeyValueTxn reads = most;
  reads.reads_on_failure.emplace_back("one more");
  state::KeyValueTxn bytes;
  bytes.writes.push_back({"a", std::string(kMaxTxnBytes, 'x')});
  const KeyValueClient client = MakeClient("http://127.0.0.1:1");
  for (const auto& txn : {compares, writes, reads, bytes}) {
    const auto result = client.Store().txn(txn);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == KeyValueFailure::kNotDone);
  }
  CHECK(client.Calls() == 0);
}

TEST_CASE("the fake service keeps the published semantics",
          "[key_value_client]") {
  standins::FakeKeyValue store;
  const auto first = store.Txn({.create_compares = {{"/k/a", 0}},
                                .writes = {{"/k/a", "1"}, {"/k/b", "2"}}});
  REQUIRE(first.succeeded);
  const auto refused = store.Txn({.create_compares = {{"/k/a", 0}},
                                  .writes = {{"/k/a", "3"}},
                                  .reads_on_failure = {"/k/a", "/k/none"}});
  CHECK_FALSE(refused.succeeded);
  REQUIRE(refused.entries.size() == 1);
  CHECK(refused.entries.front().value == "1");
  CHECK(refused.entries.front().mod_revision == first.revision);

  const auto second = store.Txn(
      {.compares = {{"/k/a", first.revision}}, .writes = {{"/k/a", "3"}}});
  CHECK(second.revision == first.revision + 1);
  const auto entry = store.Range({.key = "/k/a"}).entries.front();
  CHECK(entry.create_revision == first.revision);
  CHECK(entry.mod_revision == second.revision);
  CHECK(store
            .Range({.key = "/k/",
                    .prefix = true,
                    .min_mod_revision = second.revision})
            .entries.size() == 1);

  const std::int64_t lease = store.GrantLease(std::chrono::seconds(5));
  REQUIRE(store.Txn({.writes = {{"/k/held", "", lease}}}).succeeded);
  store.SetNow(std::chrono::seconds(4));
  CHECK(store.RenewLease(lease).count() == 5);
  store.SetNow(std::chrono::seconds(10));
  CHECK(store.Range({.key = "/k/held"}).entries.empty());
  CHECK(store.RenewLease(lease).count() == 0);
  const auto events =
      store.Events("/k/held", second.revision, std::chrono::milliseconds(0));
  REQUIRE(events.size() == 2);
  CHECK(events.back().removed);
}

}  // namespace wasabiwall::transport
