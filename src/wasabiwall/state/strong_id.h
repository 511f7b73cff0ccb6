#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace wasabiwall::state {

/// Strongly typed string identifier: identifiers with different tags are
/// distinct types without conversions between them.
/// @tparam Tag Type that names the kind of identifier.
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
