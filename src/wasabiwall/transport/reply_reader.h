#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/transport/byte_budget.h"
#include "wasabiwall/transport/call_codec.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {

/// Reads the responses to the attempts of one call and tells whether each is
/// complete. Event streams are passed on event by event, and a stream that a
/// later attempt resumes continues after the last one; anything else is
/// buffered.
class ReplyReader {
 public:
  /// @param buffers Limits what all calls buffer together.
  explicit ReplyReader(ByteBudget* buffers) : m_buffered(buffers) {}

  /// @param expects_stream Whether the call asks for an event stream.
  /// @param resumes Whether the caller resumes a stream that it has received in
  /// part.
  void StartCall(bool expects_stream, bool resumes);

  /// Continues the stream after the last event of an earlier reader.
  void ContinueAfter(const ReplyReader& earlier);

  /// Drops the response of the attempt before; keeps the last event identifier.
  /// @param group Group of calls that shares the limit of its buffers.
  /// @param may_have_body False for requests whose responses have no body.
  void StartAttempt(const std::string& group, bool may_have_body = true);

  void OnHead(MessageHead head, ReplyMetadata metadata);

  /// @param events Receives the events that are complete, if it is an event
  /// stream.
  /// @return False if the response is too large to be buffered.
  bool OnBody(std::string_view data, std::string* events);

  /// @return Whether the limit of all buffers leaves room for more of the body.
  bool HasRoom() const { return m_has_room; }

  /// Waits until there is room.
  void WaitForRoom(std::function<void()> on_room) {
    m_buffered.WaitForRoom(std::move(on_room));
  }

  /// Records that the message has ended as its framing says.
  void OnMessageEnd() { m_ended = true; }

  /// @return Whether the head has arrived.
  bool HasStarted() const { return m_head.has_value(); }

  /// @return Whether the response ends with its head.
  bool IsBodiless() const;

  /// @return Whether a stream was resumed of which nothing is left.
  bool HasNothingLeft() const;

  /// @return Length of the body of a buffered response; of a response without
  /// one to HEAD, the length that the body would have.
  std::size_t Length() const;

  /// @return Whether the response is passed on event by event.
  bool IsEventStream() const;

  /// @return Whether the response arrived in full and is no event stream.
  bool IsCompletePlain() const { return m_ended && !IsEventStream(); }

  /// @return Why a stream that has ended is not complete, for logs and metrics;
  /// null if it is complete.
  const char* TruncationReason() const;

  /// Head and metadata; only after the head has arrived.
  const MessageHead& Head() const { return *m_head; }
  const ReplyMetadata& Metadata() const { return m_metadata; }

  /// @return Body of a buffered response.
  const std::string& Body() const { return m_body; }

  /// @return Bytes after the last complete event.
  const std::string& Rest() const { return m_events.Partial(); }

  /// @return Identifier of the last event that was passed on.
  std::optional<std::int64_t> LastEventId() const { return m_events.LastId(); }

  /// @return Name of the framing, or `none` before the head has arrived.
  const char* FramingName() const;

  /// @return Framing, and size of the event inside which the response ended.
  std::vector<LogField> LogFields() const;

 private:
  bool m_expects_stream = false;
  bool m_may_have_body = true;
  /// Whether a stream may be complete without further events.
  bool m_resumes = false;
  std::optional<MessageHead> m_head;
  ReplyMetadata m_metadata;
  std::string m_body;
  protocol::EventStreamSplitter m_events;
  ByteBudget::Share m_buffered;
  bool m_has_room = true;
  bool m_ended = false;
};

}  // namespace wasabiwall::transport
