#pragma once

#include <cstdint>

namespace wasabiwall::rollout {

/// Limits a gateway's sends to a version on trial to a share of its own sends
/// to the service, so that the sum over any number of gateways keeps the share.
class ExposureLimiter {
 public:
  /// Part of the deployment's ratio that is used. The rest covers calls whose
  /// attempts are counted here and that reach no backend server, and attempts
  /// in the time in which `bad` is on its way.
  static constexpr double kUsedPart = 0.8;

  /// @param ratio Share of a service's calls that a bad version may get.
  explicit ExposureLimiter(double ratio) : m_share(ratio * kUsedPart) {}

  /// @return Share of the sends that may go to the version on trial.
  double Share() const { return m_share; }

  /// @return Whether one more send to the version on trial keeps the share.
  bool MayExpose() const;

  /// Records a call that was sent.
  void OnSent(bool to_target);

  /// @return Whether far fewer sends went to the version than the share allows.
  bool IsUnderused() const;

  std::uint64_t Sent() const { return m_sent; }
  std::uint64_t Exposed() const { return m_exposed; }

 private:
  double m_share;
  std::uint64_t m_sent = 0;
  std::uint64_t m_exposed = 0;
};

}  // namespace wasabiwall::rollout
