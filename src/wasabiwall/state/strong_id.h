#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace wasabiwall::state {

/// A string identifier that cannot be mixed up with one of another kind.
/// @tparam Tag Type that tells the kinds apart.
template <typename Tag>
struct StrongId {
  StrongId() = default;
  explicit StrongId(std::string id) : value(std::move(id)) {}

  auto operator<=>(const StrongId&) const = default;

  std::string value;
};

using WorkspaceId = StrongId<struct WorkspaceTag>;
using PoolId = StrongId<struct PoolTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using BackendServerId = StrongId<struct BackendServerTag>;
using AttemptId = StrongId<struct AttemptTag>;
using ChatId = StrongId<struct ChatTag>;

}  // namespace wasabiwall::state

template <typename Tag>
struct std::hash<wasabiwall::state::StrongId<Tag>> {
  std::size_t operator()(const wasabiwall::state::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};
