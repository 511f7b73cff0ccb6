#pragma once

#include <string>

namespace wasabiwall::state {

/// Restricts a call to some versions of a service's backend servers.
struct VersionRule {
  enum class Kind {
    kAny,
    /// Only `version`.
    kOnly,
    /// All but `version`.
    kExcept,
  };

  Kind kind = Kind::kAny;
  std::string version;
  /// Whether another version may serve the call when none that the rule allows
  /// can take it.
  bool may_fall_back = false;

  bool Allows(const std::string& candidate) const {
    if (kind == Kind::kAny) return true;
    return (candidate == version) == (kind == Kind::kOnly);
  }
};

}  // namespace wasabiwall::state
