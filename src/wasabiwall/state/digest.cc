#include "wasabiwall/state/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace wasabiwall::state {
namespace {

EVP_MD_CTX* ToContext(void* context) {
  return static_cast<EVP_MD_CTX*>(context);
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  Sha256Hasher hasher;
  hasher.Add(data);
  return hasher.Finish();
}

Sha256Hasher::Sha256Hasher() : m_context(EVP_MD_CTX_new()) {
  EVP_DigestInit_ex(ToContext(m_context), EVP_sha256(), nullptr);
}

Sha256Hasher::~Sha256Hasher() { EVP_MD_CTX_free(ToContext(m_context)); }

void Sha256Hasher::Add(std::string_view data) {
  EVP_DigestUpdate(ToContext(m_context), data.data(), data.size());
}

std::string Sha256Hasher::Finish() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int length = 0;
  EVP_DigestFinal_ex(ToContext(m_context), bytes.data(), &length);
  constexpr char digits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex.push_back(digits[bytes[i] >> 4U]);
    hex.push_back(digits[bytes[i] & 15U]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t FastHash(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

double ToUnitInterval(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
}

}  // namespace wasabiwall::state
