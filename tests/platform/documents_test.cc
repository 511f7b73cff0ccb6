#include <catch2/catch.hpp>

#include "platform_call_codec.h"
#include "platform_documents.h"

namespace wasabiwall::platform {
namespace {

using std::chrono::milliseconds;

constexpr const char* kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","path_prefix":"/chat/","type":"streaming",
   "timeout_ms":12000,"goal_ms":500,"priority":1,
   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":2,"public":false,"sticky":true,"resumable":true,
   "gap_target_ms":200},
  {"name":"r2","host":"h.example","path_prefix":"/book/","type":"unsafe",
   "timeout_ms":1500,"goal_ms":150,"priority":2,"service":"s2",
   "max_attempts":1,"public":true}],
 "services":[
  {"name":"s1","max_conns":360,"cold_start_s":3.5,"cold_per_s":21.0,
   "engine":{"capacity":64,"kv_capacity":805879}},
  {"name":"s2","max_conns":96,"cold_start_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w1","api_keys":["k1","k2"],"priority":1},
  {"name":"w2","api_keys":[]}],"unknown":[1]})";

TEST_CASE("the operators' configuration is decoded in full") {
  const auto config = DecodeConfig(kConfig);
  REQUIRE(config);
  CHECK(config->version == 7);
  const auto* chat = config->FindRoute("h.example", "/chat/x");
  REQUIRE(chat != nullptr);
  CHECK(chat->kind == state::CallKind::kStream);
  CHECK(chat->IsIdempotent());
  CHECK(chat->timeout == milliseconds(12000));
  CHECK(chat->event_gap == milliseconds(200));
  REQUIRE(chat->services.size() == 2);
  CHECK(chat->services[1].weight == 10);
  const auto* book = config->FindRoute("h.example", "/book/x");
  CHECK_FALSE(book->IsIdempotent());
  CHECK(book->is_public);
  const auto* engine = config->FindService(state::ServiceId("s1"));
  CHECK(engine->cold_time == milliseconds(3500));
  CHECK(engine->engine->batch_size == 64);
  CHECK_FALSE(config->FindService(state::ServiceId("s2"))->engine);
  CHECK(config->requires_key);
  CHECK(config->FindWorkspace("k2")->id.value == "w1");
  CHECK(config->FindWorkspace("k2")->priority == 1);
}

TEST_CASE("what is no configuration is refused") {
  CHECK_FALSE(DecodeConfig("not json"));
  CHECK_FALSE(DecodeConfig("{}"));
  CHECK_FALSE(DecodeConfig(R"({"version":"x","routes":[],"services":[]})"));
}

TEST_CASE("registry entries of other writers name no backend server") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
          "capacity":64,"phase":"ready","cold_left_ms":1500,"sequence":4,
          "born":99})";
  const auto server = DecodeBackendServer("i-1", good);
  REQUIRE(server);
  CHECK(server->cold_left == milliseconds(1500));
  CHECK(server->incarnation == 99);
  CHECK_FALSE(server->draining);
  const auto altered = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return DecodeBackendServer("i-1", text);
  };
  CHECK(altered("\"ready\"", "\"draining\"")->draining);
  CHECK_FALSE(altered("\"ready\"", "\"sleeping\""));
  CHECK_FALSE(altered("10.0.0.1:80", "somewhere"));
  CHECK_FALSE(altered("64", "\"64\""));
  CHECK_FALSE(altered("\"sequence\":4,", ""));
  CHECK_FALSE(altered("\"service\":\"s\",", ""));
  CHECK_FALSE(altered("1500", "\"soon\""));
  CHECK_FALSE(altered("99", "\"x\""));
  CHECK_FALSE(DecodeBackendServer("i-1", "\xff\xfe"));
  CHECK_FALSE(DecodeBackendServer("i-1", std::string(200000, '[')));
}

TEST_CASE("call headers are decoded and those of the system replaced") {
  const auto codec = MakeCallCodec();
  transport::HeaderList headers;
  headers.Add("x-attempt-id", "a1");
  headers.Add("X-Deadline-Ms", "1500");
  headers.Add("Authorization", "bearer key1");
  headers.Add("X-Prompt-Prefix", "aa:800,bb:410,cc:250");
  headers.Add("X-Tenant", "forged");
  headers.Add("Kv-From", "forged");
  const auto call = codec.decode_call(headers);
  CHECK(call.attempt_id == "a1");
  CHECK(call.deadline == milliseconds(1500));
  CHECK(call.key == "key1");
  CHECK(call.shared_tokens == 1210);
  CHECK(call.shared_part != 0);
  codec.encode_call({.time_left = milliseconds(900),
                     .backend_server = state::BackendServerId("i-1"),
                     .workspace = state::WorkspaceId("w1"),
                     .priority = 12,
                     .last_event_id = 3},
                    &headers);
  CHECK(*headers.Find("X-Deadline-Ms") == "900");
  CHECK(*headers.Find("X-Expect-Instance") == "i-1");
  CHECK(*headers.Find("X-Tenant") == "w1");
  CHECK(*headers.Find("X-Request-Priority") == "9");
  CHECK(*headers.Find("Last-Event-Id") == "3");
  CHECK(headers.Find("Authorization") == nullptr);
  CHECK(headers.Find("Kv-From") == nullptr);
}

TEST_CASE("answers say whether the call has run") {
  const auto codec = MakeCallCodec();
  transport::MessageHead head;
  head.status = 421;
  CHECK(codec.decode_reply(head).not_run);
  head.status = 503;
  CHECK_FALSE(codec.decode_reply(head).not_run);
  head.headers.Add("X-Not-Executed", "1");
  CHECK(codec.decode_reply(head).not_run);
  head.headers.Add("X-Instance-Load", "3,1,8");
  CHECK(codec.decode_reply(head).load->running == 3);
  CHECK(codec.decode_reply(head).load->waiting == 1);
  CHECK_FALSE(codec.decode_reply(head).work_time_percent);
  const auto work_time_of = [&codec](const std::string& load) {
    transport::MessageHead with_speed;
    with_speed.headers.Add("X-Instance-Load", load);
    CHECK(codec.decode_reply(with_speed).load->running == 3);
    return codec.decode_reply(with_speed).work_time_percent;
  };
  CHECK(work_time_of("3,1,8,250") == 250);
  CHECK(work_time_of("3,1,8, 90") == 90);
  CHECK_FALSE(work_time_of("3,1,8,"));
  CHECK_FALSE(work_time_of("3,1,8,0"));
  CHECK_FALSE(work_time_of("3,1,8,-5"));
  CHECK_FALSE(work_time_of("3,1,8,fast"));
  CHECK_FALSE(work_time_of("3,1,8,99999999999999999999"));
  transport::MessageHead odd;
  odd.headers.Add("X-Instance-Load", "many");
  CHECK_FALSE(codec.decode_reply(odd).load);
}

}  // namespace
}  // namespace wasabiwall::platform
