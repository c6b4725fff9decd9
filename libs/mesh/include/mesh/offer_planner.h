#ifndef POMELOHALL_MESH_OFFER_PLANNER_H_
#define POMELOHALL_MESH_OFFER_PLANNER_H_

#include <cstddef>

#include "base/time.h"

namespace pomelohall {

/// Settings of an offer_planner.
struct offer_planner_options {
  /// Maximum number of offers of a request that accept only a short wait. Load
  /// reports are often outdated in a large service, and another server may
  /// have a free slot.
  std::size_t short_wait_offers = 2;
  /// Maximum number of offers that accept any wait.
  std::size_t patient_offers = 2;
  /// A kind of offer is made less often if at least this share of the recent
  /// ones was refused.
  double high_refused_share = 0.7;
  /// Time in which 63% of the refusals are forgotten.
  duration memory = std::chrono::milliseconds(500);
};

/// Number of servers that a request is offered to.
struct offer_plan {
  std::size_t short_wait = 0;  ///< Offers that accept only a short wait.
  std::size_t patient = 0;     ///< Offers after those, which accept any wait.

  std::size_t Total() const { return short_wait + patient; }
};

/// Plans the offers of requests of one kind, i.e. of the same service and
/// priority, by the outcome of the recent ones.
///
/// While some servers have free slots, several offers find one. While all are
/// busy, a refused offer changes nothing but costs processor time on two VMs
/// and delays the response of a request that is refused in the end. Daemons
/// that handle many such offers become slow for the requests that do run. So
/// offers that are nearly always refused are made fewer, down to a single one,
/// which accepts any wait.
class offer_planner {
 public:
  explicit offer_planner(offer_planner_options options) : options_(options) {}

  offer_plan Plan(instant now) const;

  /// Records whether an offer was refused because the server was busy.
  void OnOffer(bool short_wait, bool refused, instant now);

 private:
  struct refusals {
    double refused = 0;  ///< Numbers of recent offers, which decay with time.
    double offered = 0;
    instant at;
  };

  double Decay(const refusals& recent, instant now) const;
  std::size_t Reduced(const refusals& recent, std::size_t max,
                      instant now) const;

  const offer_planner_options options_;
  refusals short_wait_;
  refusals patient_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_OFFER_PLANNER_H_
