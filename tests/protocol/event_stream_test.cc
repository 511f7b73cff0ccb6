#include "wasabiwall/protocol/event_stream.h"

#include <catch2/catch.hpp>

namespace wasabiwall::protocol {
namespace {

TEST_CASE("only a whole line marks a chat answer as complete") {
  const std::string event = "data: {\"text\":\"a\"}\n\n";
  CHECK(EndsWithDoneMark(event + "data: [DONE]\n\n"));
  CHECK(EndsWithDoneMark(event + "data: [DONE]\r\n\r\n"));
  CHECK(EndsWithDoneMark("data: [DONE]\n"));
  CHECK_FALSE(EndsWithDoneMark(event));
  CHECK_FALSE(EndsWithDoneMark(event + "data: [DONE]"));
  CHECK_FALSE(EndsWithDoneMark(event + "data: [DONE\n\n"));
  CHECK_FALSE(EndsWithDoneMark("data: {\"text\":\"say data: [DONE] to"));
  CHECK_FALSE(EndsWithDoneMark("data: {\"text\":\"data: [DONE]\n"));
  CHECK_FALSE(EndsWithDoneMark("data: [DONE]\n\ndata: {\"text\":\"b\"}\n\n"));
}

}  // namespace
}  // namespace wasabiwall::protocol
