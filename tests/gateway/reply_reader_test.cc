#include "wasabiwall/transport/reply_reader.h"

#include <catch2/catch.hpp>

namespace wasabiwall::transport {
namespace {

constexpr ByteLimits kBufferLimits = {
    .total = 32U << 20U, .group = 32U << 20U, .free_size = 0};

MessageHead Head(int status, BodyFraming framing, const std::string& type) {
  MessageHead head;
  head.status = status;
  head.framing = framing;
  if (!type.empty()) head.headers.Add("Content-Type", type);
  return head;
}

/// @return Why a stream with this framing and body is truncated, or empty.
std::string Truncation(BodyFraming framing, const std::string& body,
                       bool resumes = false) {
  ByteBudget buffers(kBufferLimits);
  ReplyReader reply(&buffers);
  reply.StartCall(true, resumes);
  reply.OnHead(Head(200, framing, "text/event-stream"), {});
  std::string events;
  REQUIRE(reply.OnBody(body, &events));
  reply.OnMessageEnd();
  const char* reason = reply.TruncationReason();
  return reason == nullptr ? "" : reason;
}

TEST_CASE("whether a stream is complete follows from its events and framing") {
  const std::string event = "id: 1\ndata: a\n\n";
  const auto framing = GENERATE(BodyFraming::kLength, BodyFraming::kChunked,
                                BodyFraming::kConnectionClose);
  const bool marks_end = framing != BodyFraming::kConnectionClose;
  CHECK(Truncation(framing, event).empty());
  CHECK(Truncation(framing, event + "id: 2\nda") == "ended_inside_event");
  CHECK(Truncation(framing, "id: 1\nda") == "ended_inside_event");
  CHECK(Truncation(framing, "") == (marks_end ? "" : "ended_without_event"));
  CHECK(Truncation(framing, "", true).empty());
}

TEST_CASE("only a successful response of the right media type is a stream") {
  struct Row {
    bool expects_stream;
    int status;
    std::string type;
    bool is_stream;
  };
  const auto row = GENERATE(values<Row>({
      {true, 200, "text/event-stream", true},
      {true, 200, "Text/Event-Stream; charset=utf-8", true},
      {true, 200, "", true},
      {true, 200, "application/json", false},
      {true, 500, "text/event-stream", false},
      {false, 200, "text/event-stream", false},
  }));
  CAPTURE(row.status, row.type);
  ByteBudget buffers(kBufferLimits);
  ReplyReader reply(&buffers);
  reply.StartCall(row.expects_stream, false);
  CHECK_FALSE(reply.HasStarted());
  reply.OnHead(Head(row.status, BodyFraming::kChunked, row.type), {});
  CHECK(reply.HasStarted());
  CHECK(reply.IsEventStream() == row.is_stream);
  CHECK_FALSE(reply.IsCompletePlain());
  reply.OnMessageEnd();
  CHECK(reply.IsCompletePlain() == !row.is_stream);
}

TEST_CASE("neither a body nor an unfinished event is buffered without bound") {
  const bool is_stream = GENERATE(true, false);
  ByteBudget buffers(kBufferLimits);
  ReplyReader reply(&buffers);
  reply.StartCall(is_stream, false);
  reply.OnHead(Head(200, BodyFraming::kChunked, ""), {});
  const std::string part(1U << 20U, 'x');
  std::string events;
  int parts = 0;
  while (parts < 100 && reply.OnBody(part, &events)) ++parts;
  CHECK(parts == (is_stream ? 1 : 16));
}

/// A reader of a plain response for a call of a group.
class GroupedReader {
 public:
  GroupedReader(ByteBudget* buffers, const std::string& group)
      : reply(buffers) {
    reply.StartCall(false, false);
    reply.StartAttempt(group);
    reply.OnHead(Head(200, BodyFraming::kChunked, ""), {});
  }

  /// @return Whether there is room for more.
  bool Receive(std::size_t size) {
    std::string events;
    REQUIRE(reply.OnBody(std::string(size, 'x'), &events));
    return reply.HasRoom();
  }

  ReplyReader reply;
};

constexpr std::size_t kKilobyte = 1U << 10U;

TEST_CASE("a response that finds no room in the buffers waits for it") {
  ByteBudget buffers({.total = 200 * kKilobyte,
                      .group = 200 * kKilobyte,
                      .free_size = kKilobyte});
  bool has_room = false;
  {
    GroupedReader first(&buffers, "s");
    GroupedReader second(&buffers, "s");
    CHECK(first.Receive(150 * kKilobyte));
    CHECK_FALSE(second.Receive(60 * kKilobyte));
    second.reply.WaitForRoom([&] { has_room = true; });
    CHECK(buffers.Waiting() == 1);
    SECTION("and goes on when another one has ended") {
      first.reply.StartAttempt("s");
      CHECK(has_room);
      CHECK(buffers.Used() == 60 * kKilobyte);
    }
    SECTION("and is forgotten when its own call ends") {
      second.reply.StartAttempt("s");
      first.reply.StartAttempt("s");
      CHECK_FALSE(has_room);
    }
    CHECK(buffers.Waiting() == 0);
  }
  CHECK(buffers.Used() == 0);
}

TEST_CASE("the buffers of one service leave room for those of others") {
  ByteBudget buffers({.total = 200 * kKilobyte,
                      .group = 100 * kKilobyte,
                      .free_size = kKilobyte});
  GroupedReader faulty(&buffers, "faulty");
  GroupedReader sound(&buffers, "sound");
  GroupedReader largest(&buffers, "faulty");
  CHECK(largest.Receive(60 * kKilobyte));
  CHECK_FALSE(faulty.Receive(50 * kKilobyte));
  CHECK(sound.Receive(80 * kKilobyte));
}

TEST_CASE("a small response needs no room") {
  ByteBudget buffers({.total = 100 * kKilobyte,
                      .group = 100 * kKilobyte,
                      .free_size = kKilobyte});
  GroupedReader largest(&buffers, "s");
  GroupedReader faulty(&buffers, "s");
  GroupedReader sound(&buffers, "s");
  CHECK(largest.Receive(60 * kKilobyte));
  CHECK_FALSE(faulty.Receive(50 * kKilobyte));
  CHECK(sound.Receive(kKilobyte));
  CHECK_FALSE(sound.Receive(1));
}

TEST_CASE("a new attempt starts after the last event that was passed on") {
  ByteBudget buffers(kBufferLimits);
  ReplyReader reply(&buffers);
  reply.StartCall(true, false);
  std::string events;
  reply.OnHead(Head(200, BodyFraming::kChunked, ""), {});
  reply.OnBody("id: 1\n\nid: 2\nda", &events);
  CHECK(events == "id: 1\n\n");
  reply.StartAttempt("s");
  CHECK_FALSE(reply.HasStarted());
  CHECK(reply.LastEventId() == 1);
  reply.OnHead(Head(200, BodyFraming::kConnectionClose, ""), {});
  reply.OnBody("id: 1\n\nid: 2\n\n", &events);
  CHECK(events == "id: 2\n\n");
  CHECK(reply.TruncationReason() == nullptr);
}

}  // namespace
}  // namespace wasabiwall::transport
