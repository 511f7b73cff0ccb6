#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// Parses the HTTP/1.1 messages of one connection incrementally.
class Http1Parser {
 public:
  enum class Kind { kRequests, kResponses };

  struct Handlers {
    /// @return Whether a body may follow; false for responses to HEAD.
    std::function<bool(MessageHead)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The message is complete.
    std::function<void()> on_complete;
  };

  enum class Status {
    /// All input was consumed.
    kOk,
    /// Stopped by Pause; the rest was not consumed.
    kPaused,
    kMalformed,
    kHeadTooLarge,
  };

  Http1Parser(Kind kind, Handlers handlers);

  /// Parses the next bytes. Handlers must not destroy the parser.
  /// @param consumed Receives the number of bytes consumed.
  Status Feed(std::string_view data, std::size_t* consumed);

  /// Signals that the peer has closed the connection.
  /// @return False if that truncated a message.
  bool FeedEof();

  /// Makes Feed return after the handler that is running.
  void Pause();

  /// Lets Feed continue after a pause.
  void Resume();

  /// Sets the size limit of a message head.
  void SetMaxHeadBytes(std::size_t bytes) { m_max_head_bytes = bytes; }

  /// @return Bytes of memory held for a head that is not complete.
  std::size_t HeldBytes() const {
    return m_head_text.capacity() + m_head.target.capacity();
  }

  /// Drops what is held; nothing more must be fed.
  void Discard() {
    // An assignment would keep the memory.
    std::string().swap(m_head_text);
    std::string().swap(m_head.target);
  }

  /// @return Whether a message has started and is not complete.
  bool InMessage() const { return m_in_message; }

  /// @return Whether the head of the current message is complete.
  bool InBody() const { return m_in_message && m_head_complete; }

 private:
  static int OnHeadersComplete(http_parser* parser);
  /// Replaces a request target in absolute form by its path, and the Host field
  /// by its host, which is what the target says of both.
  void ToOriginForm();
  bool FinishHead();
  /// Makes the list of fields from their text.
  void BuildFields();
  static const http_parser_settings& Callbacks();
  static Http1Parser* Of(http_parser* parser) {
    return static_cast<Http1Parser*>(parser->data);
  }
  bool CountHeadBytes(std::size_t bytes);

  http_parser m_parser;
  Kind m_kind;
  Handlers m_handlers;
  MessageHead m_head;
  /// Names and values, each followed by a line feed, which neither contains. As
  /// a list, a head of one-character fields takes 16 times its size.
  std::string m_head_text;
  bool m_value_started = false;
  bool m_in_message = false;
  bool m_head_complete = false;
  bool m_paused = false;
  bool m_head_too_large = false;
  std::size_t m_head_bytes = 0;
  std::size_t m_max_head_bytes = 65536;
};

}  // namespace wasabiwall::transport
