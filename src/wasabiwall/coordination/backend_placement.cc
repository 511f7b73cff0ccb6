#include "wasabiwall/coordination/backend_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Fraction of the load bound that is used, since the load estimate lags
/// behind.
constexpr double kLoadFactorMargin = 0.75;
/// Calls above the multiple of the mean that are always allowed. The bound
/// itself allows 3, and the estimate may be off by one.
constexpr double kLoadSlack = 2.0;
/// Time constant of the average of the own load: some calls long.
constexpr milliseconds kOwnLoadTimeConstant{1000};
/// Shared tokens from which copying between engines costs less than setting up
/// the copy.
constexpr std::int64_t kMinFetchTokens = 256;
/// Cost of a backend server in another failure domain, in calls: low enough to
/// only break ties.
constexpr double kCrossDomainCost = 0.5;
/// Cost of a backend server whose calls all fail, in calls.
constexpr double kFailureCost = 20.0;
/// Fraction of the cold limit that is used, to leave room for processes that
/// are not counted yet.
constexpr double kColdMargin = 0.8;

}  // namespace

BackendPlacement::BackendPlacement(Inputs inputs,
                                   state::FailureDomainId failure_domain,
                                   double load_factor)
    : m_inputs(std::move(inputs)),
      m_failure_domain(std::move(failure_domain)),
      m_load_factor(load_factor) {}

tl::expected<Placement, PlacementRefusal> BackendPlacement::Choose(
    const PlacementQuery& query, TimePoint now) {
  if (!m_inputs.registry->IsComplete()) {
    return tl::make_unexpected(PlacementRefusal::kRegistryIncomplete);
  }
  auto placement = ChooseAllowed(query, now);
  if (placement || !query.versions.may_fall_back ||
      query.versions.kind == state::VersionRule::Kind::kAny) {
    return placement;
  }
  // Backend servers that are not on trial stay out.
  PlacementQuery others = query;
  others.versions.kind = query.versions.kind == state::VersionRule::Kind::kOnly
                             ? state::VersionRule::Kind::kExcept
                             : state::VersionRule::Kind::kOnly;
  auto fallback = ChooseAllowed(others, now);
  if (fallback) return fallback;
  // What is full or cold may take the call soon; what does not exist may not.
  return placement.error() == PlacementRefusal::kNoneEligible ? fallback
                                                              : placement;
}

tl::expected<Placement, PlacementRefusal> BackendPlacement::ChooseAllowed(
    const PlacementQuery& query, TimePoint now) {
  // The mean is that of the backend servers that the rule allows. Those of a
  // version that gets few calls would lower the bound for the others.
  const KnownServers servers = Allowed(query);
  UpdateOwnLoad(*query.service, servers, now);
  PlacementRefusal refusal = PlacementRefusal::kNoneEligible;
  std::vector<Candidate> candidates = Candidates(query, servers, now, &refusal);
  if (candidates.empty()) return tl::make_unexpected(refusal);
  if (std::ranges::any_of(candidates,
                          [](const auto& c) { return !c.is_domain_silent; })) {
    std::erase_if(candidates,
                  [](const Candidate& c) { return c.is_domain_silent; });
  }
  EjectSlow(&candidates, now);
  if (m_inputs.work_times != nullptr &&
      m_inputs.work_times->Knows(query.service->id)) {
    ApplyWorkTimes(&candidates, query.shared_part == 0, now);
  }
  const auto ejected = static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [](const auto& c) { return c.ejected; }));
  // If most candidates are ejected, the cause is probably elsewhere, and
  // avoiding them would only overload the others.
  if (ejected * 2 <= candidates.size()) {
    std::erase_if(candidates, [](const Candidate& c) { return c.ejected; });
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.cost, a.known->server.id) <
                     std::tie(b.cost, b.known->server.id);
            });
  const double mean = MeanLoad(*query.service, servers, now);
  const double bound =
      std::max(1.0, m_load_factor * kLoadFactorMargin) * mean + kLoadSlack;
  auto chosen = std::find_if(
      candidates.begin(), candidates.end(),
      [bound](const Candidate& c) { return c.LoadWithCall() <= bound; });
  if (chosen == candidates.end()) {
    chosen = std::min_element(candidates.begin(), candidates.end(),
                              [](const auto& a, const auto& b) {
                                return a.LoadWithCall() < b.LoadWithCall();
                              });
  }
  return Placement{chosen->known->server,
                   FetchSource(query, *chosen->known, now),
                   chosen->load,
                   mean,
                   bound,
                   static_cast<int>(chosen - candidates.begin())};
}

BackendPlacement::KnownServers BackendPlacement::Allowed(
    const PlacementQuery& query) const {
  KnownServers servers = m_inputs.registry->Of(query.service->id);
  if (query.versions.kind == state::VersionRule::Kind::kAny) return servers;
  std::erase_if(servers, [&](const auto* known) {
    return !query.versions.Allows(known->server.version) ||
           (m_inputs.is_in_trial && !m_inputs.is_in_trial(known->server));
  });
  return servers;
}

std::vector<BackendPlacement::Candidate> BackendPlacement::Candidates(
    const PlacementQuery& query, const KnownServers& servers, TimePoint now,
    PlacementRefusal* refusal) const {
  std::vector<Candidate> candidates;
  const double usual_others = UsualOthers(*query.service);
  for (const auto* known : servers) {
    const state::BackendServer& server = known->server;
    if (!m_inputs.registry->IsEligible(*known, now)) continue;
    if (m_inputs.hold_offs->IsHeldOff(server, now)) {
      if (*refusal == PlacementRefusal::kNoneEligible ||
          *refusal == PlacementRefusal::kUnreachable) {
        *refusal = PlacementRefusal::kHeldOff;
      }
      continue;
    }
    if (std::find(query.tried.begin(), query.tried.end(), server.id) !=
        query.tried.end()) {
      continue;
    }
    if (m_inputs.health->IsUnreachable(server.id, now)) {
      if (*refusal == PlacementRefusal::kNoneEligible) {
        *refusal = PlacementRefusal::kUnreachable;
      }
      continue;
    }
    const double load = m_inputs.loads->Estimate(server.id, now);
    // Only what is known fills a backend server; an assumption would refuse
    // calls that it has room for.
    const bool full = query.service->engine && load >= server.capacity;
    if (full || !m_inputs.has_connection(server, *query.service)) {
      *refusal = PlacementRefusal::kFull;
      continue;
    }
    if (!AllowsColdCall(*known, *query.service, now)) {
      if (*refusal != PlacementRefusal::kFull) {
        *refusal = PlacementRefusal::kCold;
      }
      continue;
    }
    Candidate candidate{known,
                        load,
                        m_inputs.loads->Expected(server.id, now, usual_others),
                        0,
                        m_inputs.health->IsEjected(server.id, now),
                        IsSilent(server.failure_domain, query, now)};
    candidate.cost = query.shared_part != 0
                         ? AffinityCost(*known, query.shared_part)
                         : LoadCost(candidate);
    candidates.push_back(candidate);
  }
  return candidates;
}

void BackendPlacement::EjectSlow(std::vector<Candidate>* candidates,
                                 TimePoint now) const {
  std::vector<state::BackendServerId> ids;
  ids.reserve(candidates->size());
  for (const auto& candidate : *candidates) {
    ids.push_back(candidate.known->server.id);
  }
  const auto slow_threshold = m_inputs.event_intervals->SlowThreshold(ids, now);
  if (!slow_threshold) return;
  for (auto& candidate : *candidates) {
    const auto mean_interval =
        m_inputs.event_intervals->MeanInterval(candidate.known->server.id, now);
    if (mean_interval && *mean_interval >= *slow_threshold)
      candidate.ejected = true;
  }
}

void BackendPlacement::ApplyWorkTimes(std::vector<Candidate>* candidates,
                                      bool by_load, TimePoint now) const {
  double sum = 0;
  for (Candidate& candidate : *candidates) {
    const state::BackendServer& server = candidate.known->server;
    candidate.work_time =
        m_inputs.work_times->Factor(server.service, server.id, now) /
        std::max(1, static_cast<int>(server.capacity));
    sum += candidate.work_time;
  }
  const double mean = sum / static_cast<double>(candidates->size());
  for (Candidate& candidate : *candidates) {
    candidate.work_time /= mean;
    if (!by_load) continue;
    // The time until the call has finished takes the place of the load.
    candidate.cost += (candidate.known_load + 1) * (candidate.work_time - 1);
  }
}

bool BackendPlacement::IsSilent(const state::FailureDomainId& domain,
                                const PlacementQuery& query,
                                TimePoint now) const {
  return std::ranges::find(query.silent_domains, domain) !=
             query.silent_domains.end() ||
         m_inputs.failure_domains->IsLost(domain, now);
}

bool BackendPlacement::AllowsColdCall(const state::KnownBackendServer& known,
                                      const state::Service& service,
                                      TimePoint now) const {
  const auto cold_until = m_inputs.registry->ColdUntil(known);
  if (service.cold_calls_per_second <= 0 || now >= cold_until) return true;
  const double rate = ColdStartLimiter::PerProcessRate(
      service.cold_calls_per_second * kColdMargin, m_inputs.processes());
  return m_inputs.cold_starts->Allows(known.server.id, rate,
                                      cold_until - service.cold_time, now);
}

double BackendPlacement::AffinityCost(const state::KnownBackendServer& known,
                                      std::uint64_t shared_part) const {
  return state::ToUnitInterval(
      state::FastHash(known.server.id.value, shared_part));
}

double BackendPlacement::LoadCost(const Candidate& candidate) const {
  const state::BackendServer& server = candidate.known->server;
  const double distance =
      server.failure_domain == m_failure_domain ? 0 : kCrossDomainCost;
  const double failure =
      kFailureCost * m_inputs.health->FailureShare(server.id);
  return candidate.known_load + distance + failure +
         kCrossDomainCost * state::ToUnitInterval(m_inputs.random());
}

double BackendPlacement::MeanLoad(const state::Service& service,
                                  const KnownServers& servers,
                                  TimePoint now) const {
  const double usual_others = UsualOthers(service);
  double sum = 0;
  int count = 0;
  for (const auto* known : servers) {
    // Those that get no new calls count too, so that taking some out does not
    // raise the bound for the others.
    if (m_inputs.health->IsEjected(known->server.id, now)) continue;
    sum += m_inputs.loads->Expected(known->server.id, now, usual_others);
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

void BackendPlacement::UpdateOwnLoad(const state::Service& service,
                                     const KnownServers& servers,
                                     TimePoint now) {
  if (servers.empty()) return;
  double sum = 0;
  for (const auto* known : servers) {
    sum += m_inputs.loads->OwnInFlight(known->server.id);
  }
  const auto [mean, inserted] =
      m_own_load.try_emplace(service.id, kOwnLoadTimeConstant);
  mean->second.Add(sum / static_cast<double>(servers.size()), now);
}

double BackendPlacement::UsualOthers(const state::Service& service) const {
  const auto found = m_own_load.find(service.id);
  if (found == m_own_load.end()) return 0;
  return found->second.Value() * std::max(0, m_inputs.processes() - 1);
}

std::chrono::milliseconds BackendPlacement::HoldOffLeft(
    const state::Service& service, TimePoint now) const {
  std::optional<std::chrono::milliseconds> least;
  for (const auto* known : m_inputs.registry->Of(service.id)) {
    if (!m_inputs.registry->IsEligible(*known, now)) continue;
    if (!m_inputs.hold_offs->IsHeldOff(known->server, now)) continue;
    const auto left = m_inputs.hold_offs->TimeLeft(known->server, now);
    if (!least || left < *least) least = left;
  }
  return least.value_or(std::chrono::milliseconds(0));
}

bool BackendPlacement::NeedsHolderLookup(const PlacementQuery& query,
                                         TimePoint now) const {
  return query.shared_part != 0 && query.shared_tokens >= kMinFetchTokens &&
         Holders(query, now).empty();
}

std::vector<const state::KnownBackendServer*> BackendPlacement::Holders(
    const PlacementQuery& query, TimePoint now) const {
  std::vector<const state::KnownBackendServer*> holders;
  for (const auto& id :
       m_inputs.prompt_cache->Holders(query.shared_part, now)) {
    const auto* known = m_inputs.registry->Find(id);
    if (known == nullptr || m_inputs.health->IsUnreachable(id, now) ||
        IsSilent(known->server.failure_domain, query, now)) {
      continue;
    }
    holders.push_back(known);
  }
  return holders;
}

std::optional<state::BackendServer> BackendPlacement::FetchSource(
    const PlacementQuery& query, const state::KnownBackendServer& target,
    TimePoint now) const {
  if (query.shared_part == 0 || query.shared_tokens < kMinFetchTokens)
    return {};
  const state::BackendServerId& target_id = target.server.id;
  // What one version has cached need not fit another.
  const bool is_restricted =
      query.versions.kind != state::VersionRule::Kind::kAny;
  const auto is_usable = [&](const state::BackendServer& server) {
    return !is_restricted || server.version == target.server.version;
  };
  auto holders = Holders(query, now);
  std::erase_if(holders,
                [&](const auto* holder) { return !is_usable(holder->server); });
  const bool is_held = std::any_of(
      holders.begin(), holders.end(),
      [&](const auto* holder) { return holder->server.id == target_id; });
  if (is_held) return {};
  if (!holders.empty()) return holders.front()->server;
  // Other processes may have sent the prompt to the next one in rendezvous
  // order, before the target appeared or while it was at its bound.
  const state::KnownBackendServer* next = nullptr;
  for (const auto* known : m_inputs.registry->Of(query.service->id)) {
    if (known->server.id == target_id || !is_usable(known->server)) continue;
    if (m_inputs.health->IsUnreachable(known->server.id, now) ||
        IsSilent(known->server.failure_domain, query, now)) {
      continue;
    }
    if (next == nullptr || AffinityCost(*known, query.shared_part) <
                               AffinityCost(*next, query.shared_part)) {
      next = known;
    }
  }
  if (next == nullptr) return {};
  return next->server;
}

}  // namespace wasabiwall::coordination
