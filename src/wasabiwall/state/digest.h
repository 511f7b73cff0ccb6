#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiwall::state {

/// @return Lower-case hex SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

/// Computes a SHA-256 over data that arrives in parts.
class Sha256Hasher {
 public:
  Sha256Hasher();
  ~Sha256Hasher();
  Sha256Hasher(const Sha256Hasher&) = delete;
  Sha256Hasher& operator=(const Sha256Hasher&) = delete;

  /// Adds the next part.
  void Add(std::string_view data);

  /// @return Lower-case hex digest of all parts; call once.
  std::string Finish();

 private:
  void* m_context;
};

/// Compares two secrets in time that depends on their length only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// @return A 64-bit non-cryptographic hash of `data` with a seed.
std::uint64_t FastHash(std::string_view data, std::uint64_t seed = 0);

}  // namespace wasabiwall::state
