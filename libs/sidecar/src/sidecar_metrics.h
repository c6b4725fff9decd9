#ifndef POMELOHALL_SIDECAR_SRC_SIDECAR_METRICS_H_
#define POMELOHALL_SIDECAR_SRC_SIDECAR_METRICS_H_

#include <cstddef>
#include <string>

#include "base/time.h"
#include "metrics/metric_registry.h"
#include "quota/quota_account.h"

namespace pomelohall {

// Metrics of a sidecar.
class sidecar_metrics {
 public:
  sidecar_metrics();

  // Records a request of a caller that ended with `status`; 0 if it was not
  // answered.
  void OnRequest(const std::string& work_class, int status, duration elapsed);
  // Counts an offer to a backend server by outcome.
  void OnOffer(std::string_view outcome);
  void SetVersion(std::uint64_t version);
  // Time since the active configuration was last known to be the latest.
  void SetConfirmationAge(duration age);
  // Longest time that a queued answer has waited for the network link.
  void SetOldestQueuedAnswer(duration wait);

  // Requests that ran when backend servers crashed, and those of them that are
  // refused.
  void SetCrashRequests(std::size_t suspects, std::size_t culprits);

  // Counts a request of a service with a roll-out by whether it has reached a
  // server of the target version.
  void OnRolloutRequest(const std::string& service, bool target);
  void SetRolloutState(const std::string& service, int state);

  // Counts a request of a tenant with a quota by the decision about it.
  void OnQuota(const std::string& tenant, quota_decision decision);

  std::string Render();

 private:
  metric_registry registry_;
  gauge& version_;
  gauge& confirmation_age_;
  gauge& oldest_queued_answer_;
  gauge& crash_suspects_;
  gauge& crash_culprits_;
  counter& dropped_lines_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_SIDECAR_METRICS_H_
