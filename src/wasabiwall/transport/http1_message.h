#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiwall::transport {

/// @return The text without the space around it.
std::string_view TrimSpace(std::string_view text);

/// Compares two header names, ignoring case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// A header field.
struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order received.
class HeaderList {
 public:
  void Add(std::string name, std::string value) {
    m_fields.push_back({std::move(name), std::move(value)});
  }

  /// Allocates room for a number of fields.
  void Reserve(std::size_t count) { m_fields.reserve(count); }

  /// @return Bytes of memory that the fields take.
  std::size_t MemoryBytes() const;

  /// @return Value of the first field with this name, or null.
  const std::string* Find(std::string_view name) const;

  /// Removes all fields with this name.
  void Remove(std::string_view name);

  /// Removes hop-by-hop fields: those of the protocol and those that the
  /// Connection field names. Also removes Expect and Content-Length.
  void RemoveHopByHop();

  const std::vector<Header>& Fields() const { return m_fields; }

 private:
  std::vector<Header> m_fields;
};

/// What marks the end of a response's body.
enum class BodyFraming {
  /// A length that is known from the head; also a response without a body.
  kLength,
  /// The last chunk.
  kChunked,
  /// The end of the connection.
  kConnectionClose,
};

/// @return Name of a framing for logs and metrics.
const char* NameOf(BodyFraming framing);

/// @return Whether a status means success.
bool IsSuccess(int status);

/// @return Whether responses with this status end with their head.
bool IsBodiless(int status);

/// Head of a request or response.
struct MessageHead {
  /// Set in requests.
  std::string method;
  std::string target;
  /// Set in responses.
  int status = 0;
  std::string reason;
  BodyFraming framing = BodyFraming::kLength;

  HeaderList headers;
  /// Whether another message may follow on the connection.
  bool keep_alive = false;
};

/// @return The length that a head declares for its body, if it does.
std::optional<std::size_t> DeclaredLength(const MessageHead& head);

/// @return Bytes of memory that a head takes beyond its own object.
std::size_t MemoryBytesOf(const MessageHead& head);

/// Appends a `name: value` line.
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* out);

/// @return The standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

/// @return `data` as one chunk of a chunked body.
std::string EncodeChunk(std::string_view data);

/// @return `text`, percent-encoded for use in a query.
std::string PercentEncode(std::string_view text);

/// End of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace wasabiwall::transport
