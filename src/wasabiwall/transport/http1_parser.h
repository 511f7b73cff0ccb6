#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// Parses HTTP/1.1 messages of one connection from parts as they arrive.
class Http1Parser {
 public:
  enum class Kind { kRequests, kResponses };

  struct Handlers {
    /// @return Whether a body may follow; false for answers to HEAD.
    std::function<bool(MessageHead)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The message is complete.
    std::function<void()> on_complete;
  };

  enum class Status {
    /// All input was taken.
    kOk,
    /// Stopped by Pause; the rest was not taken.
    kPaused,
    kMalformed,
    kHeadTooLarge,
  };

  Http1Parser(Kind kind, Handlers handlers);

  /// Parses the next part. Must not be destroyed by a handler.
  /// @param taken Receives the number of bytes taken.
  Status Feed(std::string_view data, std::size_t* taken);

  /// The peer closed the connection.
  /// @return False when that cut a message.
  bool FeedEnd();

  /// Stops Feed after the handler that is running.
  void Pause();

  /// Lets Feed go on after a pause.
  void Resume();

  /// Limits the bytes of a head.
  void SetMaxHeadBytes(std::size_t bytes) { m_max_head_bytes = bytes; }

  /// @return Whether a message has begun and is not complete.
  bool InMessage() const { return m_in_message; }

  /// @return Whether the head of the current message is complete.
  bool InBody() const { return m_in_message && m_head_complete; }

 private:
  static int OnHeadersComplete(http_parser* parser);
  void FinishField();
  bool TakeHead();
  static const http_parser_settings& Callbacks();
  static Http1Parser* Of(http_parser* parser) {
    return static_cast<Http1Parser*>(parser->data);
  }
  bool CountHeadBytes(std::size_t bytes);

  http_parser m_parser;
  Kind m_kind;
  Handlers m_handlers;
  MessageHead m_head;
  std::string m_field_name;
  std::string m_field_value;
  bool m_value_begun = false;
  bool m_in_message = false;
  bool m_head_complete = false;
  bool m_paused = false;
  bool m_head_too_large = false;
  std::size_t m_head_bytes = 0;
  std::size_t m_max_head_bytes = 65536;
};

}  // namespace wasabiwall::transport
