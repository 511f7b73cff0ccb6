#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace wasabiwall::transport {

/// Header names, compared without regard to case. Looking a name up takes the
/// same time however many there are.
class HeaderNameSet {
 public:
  HeaderNameSet();
  HeaderNameSet(const HeaderNameSet&) = delete;
  HeaderNameSet& operator=(const HeaderNameSet&) = delete;

  /// @param name Must outlive the set.
  void Insert(std::string_view name) { m_names.insert(name); }

  bool Contains(std::string_view name) const { return m_names.contains(name); }

  /// @return Comparisons of two names so far.
  std::size_t Comparisons() const { return m_comparisons; }

 private:
  struct Hash {
    std::size_t operator()(std::string_view name) const;
  };
  struct Equal {
    std::size_t* comparisons;
    bool operator()(std::string_view a, std::string_view b) const;
  };

  std::size_t m_comparisons = 0;
  std::unordered_set<std::string_view, Hash, Equal> m_names;
};

}  // namespace wasabiwall::transport
