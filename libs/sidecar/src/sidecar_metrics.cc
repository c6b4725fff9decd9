#include "sidecar_metrics.h"

#include "http1/broken_responses.h"
#include "logging/log_event.h"

namespace pomelohall {
namespace {

// Answers take between a fraction of a millisecond and the longest deadline of
// about ten seconds.
constexpr histogram_range kLatencyRange{
    .lowest = 0.001, .highest = 10, .buckets = 24};

}  // namespace

sidecar_metrics::sidecar_metrics()
    : version_(registry_.Gauge("pomelohall_config_version",
                               "Version of the configuration in force.")),
      confirmation_age_(registry_.Gauge(
          "pomelohall_config_confirmation_age_milliseconds",
          "Time since the configuration in force was last known to be the "
          "latest in the store.")),
      oldest_queued_answer_(registry_.Gauge(
          "pomelohall_oldest_queued_answer_milliseconds",
          "Longest time that a queued answer has waited for the network "
          "link.")),
      crash_suspects_(
          registry_.Gauge("pomelohall_crash_suspects",
                          "Requests that ran when backend servers crashed.")),
      crash_culprits_(registry_.Gauge(
          "pomelohall_crash_culprits",
          "Requests that are refused because they crash backend servers.")),
      dropped_lines_(registry_.Counter("pomelohall_log_lines_dropped_total",
                                       "Log lines above the rate limit.")) {}

void sidecar_metrics::OnRequest(const std::string& work_class, int status,
                                duration elapsed) {
  registry_
      .Counter("pomelohall_requests_total", "Requests of callers, by status.",
               {{"class", work_class}, {"status", std::to_string(status)}})
      .Add();
  registry_
      .Histogram("pomelohall_request_seconds",
                 "Time from the request to the end of its answer.",
                 kLatencyRange, {{"class", work_class}})
      .Record(ToMillis(elapsed) / 1000);
}

void sidecar_metrics::OnOffer(std::string_view outcome) {
  registry_
      .Counter("pomelohall_offers_total",
               "Offers of requests to backend servers, by outcome.",
               {{"outcome", std::string(outcome)}})
      .Add();
}

void sidecar_metrics::SetVersion(std::uint64_t version) {
  version_.Set(static_cast<std::int64_t>(version));
}

void sidecar_metrics::SetConfirmationAge(duration age) {
  confirmation_age_.Set(static_cast<std::int64_t>(ToMillis(age)));
}

void sidecar_metrics::SetOldestQueuedAnswer(duration wait) {
  oldest_queued_answer_.Set(static_cast<std::int64_t>(ToMillis(wait)));
}

void sidecar_metrics::SetCrashRequests(std::size_t suspects,
                                       std::size_t culprits) {
  crash_suspects_.Set(static_cast<std::int64_t>(suspects));
  crash_culprits_.Set(static_cast<std::int64_t>(culprits));
}

void sidecar_metrics::OnRolloutRequest(const std::string& service,
                                       bool target) {
  registry_
      .Counter("pomelohall_rollout_requests_total",
               "Requests that reached backend servers during a roll-out, by "
               "version.",
               {{"service", service}, {"version", target ? "target" : "other"}})
      .Add();
}

void sidecar_metrics::SetRolloutState(const std::string& service, int state) {
  registry_
      .Gauge("pomelohall_rollout_state",
             "State of the roll-out: 0 canary, 1 switching, 2 failed, 3 "
             "completed, 4 rolled back, 5 withdrawn.",
             {{"service", service}})
      .Set(state);
}

void sidecar_metrics::OnQuota(const std::string& tenant,
                              quota_decision decision) {
  registry_
      .Counter("pomelohall_quota_requests_total",
               "Requests of tenants with a quota, by decision.",
               {{"tenant", tenant},
                {"decision", std::string(kQuotaDecisionNames.Name(decision))}})
      .Add();
}

std::string sidecar_metrics::Render() {
  dropped_lines_.SetTotal(DroppedLogLines());
  RecordBrokenResponses(registry_);
  return registry_.Render();
}

}  // namespace pomelohall
