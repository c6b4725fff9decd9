#ifndef POMELOHALL_DAEMON_DAEMON_METRICS_H_
#define POMELOHALL_DAEMON_DAEMON_METRICS_H_

#include <string>

#include "caller/call_observation.h"
#include "caller/call_service.h"
#include "daemon/control_core.h"
#include "metrics/metric_registry.h"
#include "peer/transport.h"

namespace pomelohall {

/// Metrics of a daemon. Must be used on the I/O thread.
class daemon_metrics {
 public:
  /// Records a completed call.
  void Record(const call_observation& observation);

  /// Updates the metrics from the given values and renders all of them.
  std::string Render(const call_service_status& calls,
                     const control_status& control,
                     const transport_counters& transport,
                     std::uint64_t frames_refused);

 private:
  void SetCalls(const call_service_status& calls);
  void SetControl(const control_status& control);
  void SetTransport(const transport_counters& transport,
                    std::uint64_t frames_refused);

  metric_registry registry_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_DAEMON_METRICS_H_
