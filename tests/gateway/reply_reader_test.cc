#include "wasabiwall/transport/reply_reader.h"

#include <catch2/catch.hpp>

namespace wasabiwall::transport {
namespace {

constexpr std::size_t kBufferLimit = 32U << 20U;

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
  ByteBudget buffers(kBufferLimit);
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
  ByteBudget buffers(kBufferLimit);
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
  ByteBudget buffers(kBufferLimit);
  ReplyReader reply(&buffers);
  reply.StartCall(is_stream, false);
  reply.OnHead(Head(200, BodyFraming::kChunked, ""), {});
  const std::string part(1U << 20U, 'x');
  std::string events;
  int parts = 0;
  while (parts < 100 && reply.OnBody(part, &events)) ++parts;
  CHECK(parts == (is_stream ? 1 : 16));
}

TEST_CASE("the buffers of all calls have a common limit") {
  ByteBudget buffers(1000);
  std::string events;
  {
    ReplyReader first(&buffers);
    ReplyReader second(&buffers);
    for (ReplyReader* reply : {&first, &second}) {
      reply->StartCall(false, false);
      reply->OnHead(Head(200, BodyFraming::kChunked, ""), {});
    }
    CHECK(first.OnBody(std::string(600, 'x'), &events));
    CHECK_FALSE(second.OnBody(std::string(600, 'x'), &events));
    first.StartAttempt();
    CHECK(buffers.Used() == 600);
  }
  CHECK(buffers.Used() == 0);
}

TEST_CASE("a new attempt starts after the last event that was passed on") {
  ByteBudget buffers(kBufferLimit);
  ReplyReader reply(&buffers);
  reply.StartCall(true, false);
  std::string events;
  reply.OnHead(Head(200, BodyFraming::kChunked, ""), {});
  reply.OnBody("id: 1\n\nid: 2\nda", &events);
  CHECK(events == "id: 1\n\n");
  reply.StartAttempt();
  CHECK_FALSE(reply.HasStarted());
  CHECK(reply.LastEventId() == 1);
  reply.OnHead(Head(200, BodyFraming::kConnectionClose, ""), {});
  reply.OnBody("id: 1\n\nid: 2\n\n", &events);
  CHECK(events == "id: 2\n\n");
  CHECK(reply.TruncationReason() == nullptr);
}

}  // namespace
}  // namespace wasabiwall::transport
