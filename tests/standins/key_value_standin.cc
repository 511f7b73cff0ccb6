// Stand-in for the platform's key-value service: the published JSON interface
// of etcd v3, in memory, with faults that a test can switch on at /admin.
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "standins/support/fake_key_value.h"
#include "standins/support/standin_server.h"
#include "wasabiwall/transport/base64.h"

namespace {

using nlohmann::json;
using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::DecodeBase64;
using transport::EncodeBase64;

struct Faults {
  std::atomic<bool> outage{false};
  std::atomic<int> delay{0};
  std::atomic<int> lose_answers{0};
};

struct Counts {
  std::atomic<std::int64_t> reads{0};
  std::atomic<std::int64_t> writes{0};
  std::atomic<std::int64_t> leases{0};
  std::atomic<std::int64_t> watches{0};
};

standins::FakeKeyValue g_store;
Faults g_faults;
Counts g_counts;

milliseconds Now() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

std::string Bytes(const json& object, const char* name) {
  return DecodeBase64(object.value(name, "")).value_or("");
}

std::int64_t Int(const json& object, const char* name) {
  if (!object.contains(name)) return 0;
  const json& value = object[name];
  return value.is_string() ? std::stoll(value.get<std::string>())
                           : value.get<std::int64_t>();
}

json Header(std::int64_t revision) {
  return {{"revision", std::to_string(revision)}};
}

json EntryJson(const state::KeyValueEntry& entry) {
  return {{"key", EncodeBase64(entry.key)},
          {"value", EncodeBase64(entry.value)},
          {"create_revision", std::to_string(entry.create_revision)},
          {"mod_revision", std::to_string(entry.mod_revision)},
          {"lease", std::to_string(entry.lease)}};
}

state::KeyValueRange ReadRange(const json& body) {
  return {Bytes(body, "key"), body.contains("range_end"),
          Int(body, "min_mod_revision")};
}

json RangeJson(const state::KeyValueRangeResult& result) {
  json kvs = json::array();
  for (const auto& entry : result.entries) kvs.push_back(EntryJson(entry));
  return {{"header", Header(result.revision)},
          {"kvs", kvs},
          {"count", std::to_string(kvs.size())}};
}

state::KeyValueTxn ReadTxn(const json& body) {
  state::KeyValueTxn txn;
  for (const json& compare : body.value("compare", json::array())) {
    if (compare.value("target", "") == "CREATE") {
      txn.create_compares.push_back(
          {Bytes(compare, "key"), Int(compare, "create_revision")});
    } else {
      txn.compares.push_back(
          {Bytes(compare, "key"), Int(compare, "mod_revision")});
    }
  }
  for (const json& operation : body.value("success", json::array())) {
    if (operation.contains("request_put")) {
      const json& put = operation["request_put"];
      txn.writes.push_back(
          {Bytes(put, "key"), Bytes(put, "value"), Int(put, "lease")});
    } else {
      const json& range = operation["request_delete_range"];
      txn.writes.push_back({Bytes(range, "key"), "", 0, true});
    }
  }
  for (const json& operation : body.value("failure", json::array())) {
    txn.reads_on_failure.push_back(Bytes(operation["request_range"], "key"));
  }
  return txn;
}

json TxnJson(const state::KeyValueTxnResult& result) {
  json responses = json::array();
  for (const auto& entry : result.entries) {
    responses.push_back(
        {{"response_range", {{"kvs", json::array({EntryJson(entry)})}}}});
  }
  return {{"header", Header(result.revision)},
          {"succeeded", result.succeeded},
          {"responses", responses}};
}

json Call(const std::string& path, const json& body) {
  if (path == "/v3/kv/range") {
    ++g_counts.reads;
    return RangeJson(g_store.Range(ReadRange(body)));
  }
  if (path == "/v3/kv/txn") {
    ++g_counts.writes;
    return TxnJson(g_store.Txn(ReadTxn(body)));
  }
  ++g_counts.leases;
  if (path == "/v3/lease/grant") {
    const std::chrono::seconds ttl(Int(body, "TTL"));
    return {{"ID", std::to_string(g_store.GrantLease(ttl))},
            {"TTL", std::to_string(ttl.count())}};
  }
  if (path == "/v3/lease/keepalive") {
    const auto ttl = g_store.RenewLease(Int(body, "ID"));
    return {
        {"result", {{"ID", body["ID"]}, {"TTL", std::to_string(ttl.count())}}}};
  }
  if (path == "/v3/lease/revoke") {
    g_store.RevokeLease(Int(body, "ID"));
    return json::object();
  }
  return nullptr;
}

void Watch(const json& body, transport::ServerResponse* response) {
  ++g_counts.watches;
  const json& create = body["create_request"];
  const std::string prefix = Bytes(create, "key");
  std::int64_t next = Int(create, "start_revision");
  if (next == 0) next = g_store.Revision() + 1;
  response->Begin(200, "application/json");
  bool open = response->Write(R"({"result":{"created":true}})"
                              "\n");
  while (open && !g_faults.outage) {
    const auto events = g_store.Events(prefix, next, milliseconds(500));
    json list = json::array();
    for (const auto& event : events) {
      next = std::max(next, event.entry.mod_revision + 1);
      list.push_back({{"type", event.removed ? "DELETE" : "PUT"},
                      {"kv", EntryJson(event.entry)}});
    }
    const json message = {
        {"result", {{"header", Header(g_store.Revision())}, {"events", list}}}};
    open = response->Write(message.dump() + "\n");
  }
  response->End();
}

void Admin(const transport::ServerRequest& request,
           transport::ServerResponse* response) {
  const auto field = [&](const char* name) {
    return standins::QueryField(request.query, name);
  };
  if (request.path == "/admin/faults") {
    if (!field("outage").empty()) g_faults.outage = field("outage") == "1";
    if (!field("delay_ms").empty())
      g_faults.delay = std::stoi(field("delay_ms"));
    if (!field("lose_answers").empty()) {
      g_faults.lose_answers = std::stoi(field("lose_answers"));
    }
    if (!field("lapse_lease").empty()) {
      g_store.RevokeLease(std::stoll(field("lapse_lease")));
    }
  }
  const json counts = {{"reads", g_counts.reads.load()},
                       {"writes", g_counts.writes.load()},
                       {"leases", g_counts.leases.load()},
                       {"watches", g_counts.watches.load()},
                       {"revision", g_store.Revision()}};
  standins::SendJson(response, counts.dump());
}

void Handle(const transport::ServerRequest& request,
            const std::shared_ptr<transport::ServerResponse>& response) {
  if (request.path.rfind("/admin/", 0) == 0) {
    Admin(request, response.get());
    return;
  }
  std::this_thread::sleep_for(milliseconds(g_faults.delay));
  if (g_faults.outage) {
    response->Send(503, "application/json", "{}", {});
    return;
  }
  g_store.SetNow(Now());
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response->Send(400, "application/json", "{}", {});
    return;
  }
  if (request.path == "/v3/watch") {
    Watch(body, response.get());
    return;
  }
  const json answer = Call(request.path, body);
  if (answer.is_null()) {
    response->Send(404, "application/json", "{}", {});
    return;
  }
  const bool write = request.path == "/v3/kv/txn";
  if (write && g_faults.lose_answers > 0) {
    --g_faults.lose_answers;
    response->Send(504, "application/json", "{}", {});
    return;
  }
  standins::SendJson(response.get(), answer.dump());
}

}  // namespace

int main(int argc, const char** argv) {
  std::thread([] {
    while (true) {
      std::this_thread::sleep_for(milliseconds(100));
      g_store.SetNow(Now());
    }
  }).detach();
  return standins::Serve(argc, argv, &Handle);
}
