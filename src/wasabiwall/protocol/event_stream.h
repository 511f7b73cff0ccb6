#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiwall::protocol {

/// @param media_type Value of a Content-Type field; empty if none was sent.
/// @return Whether the response to a call that asks for an event stream is one:
/// its media type says so, or says nothing.
bool MayBeEventStream(std::string_view media_type);

/// @return Size of the complete events at the start of `data`.
std::size_t CompleteEventsSize(std::string_view data);

/// @return Whether the bytes of a stream hold more than comments and empty
/// lines, which a backend server may send to keep a connection alive.
bool HasContent(std::string_view events);

/// @param tail Last bytes of a chat answer; 64 are enough.
/// @return Whether they end with the line `data: [DONE]`, which marks an answer
/// as complete; empty lines may follow.
bool EndsWithDoneMark(std::string_view tail);

/// Splits the bytes of a server-sent event stream into complete events, so that
/// a stream that breaks off inside an event can be resumed on another backend
/// server after the last complete one. Drops events whose identifier is not
/// higher than the last one returned.
class EventStreamSplitter {
 public:
  /// Adds the next bytes of the current attempt's stream.
  /// @return The new events that are complete, concatenated.
  std::string Feed(std::string_view data);

  /// Drops the incomplete event, if any, before the stream of a new attempt.
  /// Keeps the last identifier, so that repeated events are still dropped.
  void DropPartialEvent() { m_partial.clear(); }

  /// @return Bytes received after the last complete event.
  const std::string& Partial() const { return m_partial; }

  /// @return Whether a stream that ended now would have been broken off: empty
  /// lines and comments may follow the last event, anything else is part of an
  /// incomplete one.
  bool IsInsideEvent() const;

  /// @return Identifier of the last complete event that has one.
  std::optional<std::int64_t> LastId() const { return m_last_id; }

 private:
  std::string m_partial;
  std::optional<std::int64_t> m_last_id;
};

}  // namespace wasabiwall::protocol
