#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiwall::state {

/// @return Lower-case hex SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

/// Computes a SHA-256 hash incrementally.
class Sha256Hasher {
 public:
  Sha256Hasher();
  ~Sha256Hasher();
  Sha256Hasher(const Sha256Hasher&) = delete;
  Sha256Hasher& operator=(const Sha256Hasher&) = delete;

  /// Adds data to the hash.
  void Add(std::string_view data);

  /// @return Lower-case hex digest of all data added; call once.
  std::string Finish();

 private:
  void* m_context;
};

/// Compares two secrets in a time that depends only on their lengths, against
/// timing attacks.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// @return A 64-bit non-cryptographic hash of `data` with a seed.
std::uint64_t FastHash(std::string_view data, std::uint64_t seed = 0);

/// @return A hash or random number as a fraction between 0 and 1, exclusive.
double ToUnitInterval(std::uint64_t hash);

}  // namespace wasabiwall::state
