#include "wasabiwall/protocol/event_stream.h"

#include <catch2/catch.hpp>

namespace wasabiwall::protocol {
namespace {

/// Checks that a stream is split into whole events in whatever parts it
/// arrives.
void CheckSplit(const std::string& stream, std::int64_t last_id) {
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    CAPTURE(size);
    EventStreamSplitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      passed += splitter.Feed(stream.substr(at, size));
    }
    CHECK(passed == stream);
    CHECK(splitter.Partial().empty());
    CHECK(splitter.LastId() == last_id);
  }
}

TEST_CASE(
    "a stream is split at the ends of events, whatever parts it arrives in") {
  CheckSplit("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n", 3);
}

TEST_CASE("a stream whose lines end in carriage returns is split into events") {
  CheckSplit("id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2);
}

TEST_CASE("empty lines and comments after the last event belong to no event") {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const std::string rest :
       {"", "\n", "\r\n", "\r", ": bye\n", ": bye\r\n\n", "\n:\n"}) {
    CAPTURE(rest);
    EventStreamSplitter splitter;
    splitter.Feed(event + rest);
    CHECK_FALSE(splitter.IsInsideEvent());
  }
  for (const std::string rest : {"i", "data: b", "data: b\n", "\ndata: b\r\n",
                                 ": bye\nid: 2\n", ": by"}) {
    CAPTURE(rest);
    EventStreamSplitter splitter;
    splitter.Feed(event + rest);
    CHECK(splitter.IsInsideEvent());
  }
}

TEST_CASE("events that were forwarded before are dropped after a resumption") {
  EventStreamSplitter splitter;
  CHECK(splitter.Feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
  splitter.DropPartialEvent();
  CHECK(splitter.Feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
}

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
