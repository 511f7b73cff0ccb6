#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiwall::protocol {

/// Cuts the bytes of an event stream at the ends of events, so that a stream
/// that breaks off inside an event can go on elsewhere after the last whole
/// one. Events that were passed on before are dropped.
class EventStreamSplitter {
 public:
  /// Takes the next bytes of a run.
  /// @return All whole events that are new.
  std::string Feed(std::string_view data);

  /// A new run begins; an event that was begun is dropped.
  void Restart() { m_partial.clear(); }

  /// @return Bytes of an event that has no end yet.
  const std::string& Partial() const { return m_partial; }

  /// @return Identifier of the last whole event.
  std::optional<std::int64_t> LastId() const { return m_last_id; }

 private:
  std::string m_partial;
  std::optional<std::int64_t> m_last_id;
};

}  // namespace wasabiwall::protocol
