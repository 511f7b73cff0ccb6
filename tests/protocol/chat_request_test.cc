#include "wasabiwall/protocol/chat_request.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace wasabiwall::protocol {

TEST_CASE("a valid chat request is parsed", "[chat_request]") {
  const auto request = ParseChatRequest(
      R"({"model":"m","messages":[{"role":"user","content":"12345678"}],)"
      R"("max_tokens":5,"stream":true,"user":"chat-9"})");
  REQUIRE(request);
  CHECK(request->model == "m");
  CHECK(request->chat_id == "chat-9");
  CHECK(request->streaming);
  CHECK(request->CostUnits() == 3 + 5);
}

TEST_CASE("malformed chat requests are rejected", "[chat_request]") {
  const char* const bodies[] = {
      "",
      "{",
      "[]",
      R"({"messages":[]})",
      R"({"model":1,"messages":[]})",
      R"({"model":"m"})",
      R"({"model":"m","messages":[]})",
      R"({"model":"m","messages":[1]})",
      R"({"model":"m","messages":[{"role":"user"}]})",
      R"({"model":"m","messages":[{"role":"u","content":""}],"max_tokens":0})",
      R"({"model":"m","messages":[{"role":"u","content":""}],"max_tokens":"9"})",
      R"({"model":"m","messages":[{"role":"u","content":""}],"stream":1})",
  };
  for (const char* const body : bodies) {
    INFO(body);
    const auto request = ParseChatRequest(body);
    REQUIRE_FALSE(request);
    CHECK(request.error().kind == ErrorKind::kBadRequest);
  }
}

TEST_CASE("arbitrary input is parsed or rejected as a bad request",
          "[chat_request][fuzz]") {
  rc::prop("any byte string is parsed or rejected",
           [](const std::string& body) {
             const auto request = ParseChatRequest(body);
             if (!request)
               RC_ASSERT(request.error().kind == ErrorKind::kBadRequest);
           });
}

}  // namespace wasabiwall::protocol
