#include "daemon_metrics.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "http1/broken_responses.h"

namespace pomelohall {
namespace {

std::int64_t GaugeValue(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

}  // namespace

void daemon_metrics::Record(const call_observation& observation) {
  registry_
      .Histogram("pomelohall_call_seconds",
                 "Time from the request header to the end of the answer.",
                 {.lowest = 0.0001, .highest = 100, .buckets = 24},
                 {{"class", observation.work_class}})
      .Record(std::chrono::duration<double>(observation.elapsed).count());
}

std::string daemon_metrics::Render(const call_service_status& calls,
                                   const control_status& control,
                                   const transport_counters& transport,
                                   std::uint64_t frames_refused) {
  SetCalls(calls);
  SetControl(control);
  SetTransport(transport, frames_refused);
  RecordBrokenResponses(registry_);
  return registry_.Render();
}

void daemon_metrics::SetCalls(const call_service_status& calls) {
  registry_.Counter("pomelohall_calls_total", "Calls of callers that ended.")
      .SetTotal(calls.calls);
  registry_
      .Counter("pomelohall_attempts_total",
               "Attempts of these calls, retries included.")
      .SetTotal(calls.attempts);
  registry_
      .Counter("pomelohall_backend_crashes_total",
               "Crashes of the backend server with calls in flight.")
      .SetTotal(calls.backend_crashes);
  for (std::size_t i = 0; i < calls.errors.size(); ++i) {
    const auto kind = static_cast<error_kind>(i);
    registry_
        .Counter("pomelohall_errors_total", "Errors that callers were told.",
                 {{"kind", std::string(GetErrorInfo(kind).name)}})
        .SetTotal(calls.errors[i]);
  }
  registry_.Gauge("pomelohall_entry_calls", "Calls of callers in progress.")
      .Set(GaugeValue(calls.entry_calls));
  registry_.Gauge("pomelohall_owner_queued", "Calls that wait for a free slot.")
      .Set(GaugeValue(calls.owner_queued));
  registry_
      .Gauge("pomelohall_owner_running", "Calls that the backend server runs.")
      .Set(GaugeValue(calls.owner_running));
  registry_.Gauge("pomelohall_owner_limit", "Concurrency limit of the owner.")
      .Set(calls.owner_limit);
  registry_
      .Gauge("pomelohall_caller_connections", "Open connections of callers.")
      .Set(GaugeValue(calls.caller_connections));
}

void daemon_metrics::SetControl(const control_status& control) {
  registry_
      .Gauge("pomelohall_config_version",
             "Configuration version in force; 0 if there is none.")
      .Set(GaugeValue(control.version_in_force));
  registry_.Gauge("pomelohall_staged_version", "Highest version held staged.")
      .Set(GaugeValue(control.staged_version));
  registry_.Gauge("pomelohall_recovered", "1 once the recovery has ended.")
      .Set(control.recovered ? 1 : 0);
  registry_.Gauge("pomelohall_reader", "1 if this daemon reads the platform.")
      .Set(control.reader ? 1 : 0);
  for (const auto& [data_centre, count] : control.members_by_data_centre) {
    registry_
        .Gauge("pomelohall_members", "Live members by data centre.",
               {{"data_centre", data_centre}})
        .Set(GaugeValue(count));
  }
  registry_
      .Counter("pomelohall_deltas_refused_total",
               "Versions that were refused as a whole.")
      .SetTotal(control.deltas_refused);
}

void daemon_metrics::SetTransport(const transport_counters& transport,
                                  std::uint64_t frames_refused) {
  registry_
      .Counter("pomelohall_control_bytes_total",
               "Bytes of control messages, framing included.",
               {{"direction", "sent"}})
      .SetTotal(transport.bytes_sent);
  registry_
      .Counter("pomelohall_control_bytes_total",
               "Bytes of control messages, framing included.",
               {{"direction", "received"}})
      .SetTotal(transport.bytes_received);
  registry_
      .Counter("pomelohall_control_frames_total", "Control messages.",
               {{"direction", "sent"}})
      .SetTotal(transport.frames_sent);
  registry_
      .Counter("pomelohall_control_frames_total", "Control messages.",
               {{"direction", "received"}})
      .SetTotal(transport.frames_received);
  registry_
      .Counter("pomelohall_control_frames_dropped_total",
               "Control messages that were not sent.")
      .SetTotal(transport.frames_dropped);
  registry_
      .Counter("pomelohall_control_frames_refused_total",
               "Malformed control messages.")
      .SetTotal(frames_refused);
}

}  // namespace pomelohall
