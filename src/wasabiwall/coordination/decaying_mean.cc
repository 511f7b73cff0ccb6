#include "wasabiwall/coordination/decaying_mean.h"

#include <cmath>

namespace wasabiwall::coordination {

void DecayingMean::Add(double value, TimePoint now) {
  const std::chrono::duration<double> passed = now - m_updated_at;
  const std::chrono::duration<double> time_constant = m_time_constant;
  m_value += (value - m_value) * (1 - std::exp(-(passed / time_constant)));
  m_updated_at = now;
}

}  // namespace wasabiwall::coordination
