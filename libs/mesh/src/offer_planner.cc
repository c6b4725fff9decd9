#include "mesh/offer_planner.h"

#include <algorithm>
#include <cmath>

namespace pomelohall {
namespace {

// Offers from which on the share of refused ones is meaningful.
constexpr double kMinOffers = 3;

}  // namespace

double offer_planner::Decay(const refusals& recent, instant now) const {
  const auto age = std::max(now - recent.at, duration(0));
  return std::exp(-ToMillis(age) / ToMillis(options_.memory));
}

// Refusals are forgotten with time, so `max` offers are tried again soon.
std::size_t offer_planner::Reduced(const refusals& recent, std::size_t max,
                                   instant now) const {
  const double decay = Decay(recent, now);
  const double offered = recent.offered * decay;
  if (offered < kMinOffers) return max;
  const double refused_share = recent.refused / recent.offered;
  if (refused_share < options_.high_refused_share) return max;
  const double share_left =
      (1 - refused_share) / (1 - options_.high_refused_share);
  return static_cast<std::size_t>(share_left * static_cast<double>(max));
}

offer_plan offer_planner::Plan(instant now) const {
  return {.short_wait = Reduced(short_wait_, options_.short_wait_offers, now),
          .patient = std::max<std::size_t>(
              Reduced(patient_, options_.patient_offers, now), 1)};
}

void offer_planner::OnOffer(bool short_wait, bool refused, instant now) {
  auto& recent = short_wait ? short_wait_ : patient_;
  const double decay = Decay(recent, now);
  recent.offered = recent.offered * decay + 1;
  recent.refused = recent.refused * decay + (refused ? 1 : 0);
  recent.at = now;
}

}  // namespace pomelohall
