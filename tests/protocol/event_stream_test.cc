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

TEST_CASE("unfinished events at the end of a stream are left out") {
  const std::string event = "id: 1\ndata: a\n\n";
  CHECK(CompleteEventsSize("") == 0);
  CHECK(CompleteEventsSize("data: b\n") == 0);
  CHECK(CompleteEventsSize(event + event + "data: b\n") == 2 * event.size());
}

}  // namespace
}  // namespace wasabiwall::protocol
