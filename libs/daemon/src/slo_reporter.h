#ifndef POMELOHALL_DAEMON_SLO_REPORTER_H_
#define POMELOHALL_DAEMON_SLO_REPORTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller/call_observation.h"
#include "daemon/platform_gateway.h"
#include "membership/member_record.h"
#include "slo/slo_aggregator.h"
#include "slo/slo_recorder.h"

namespace pomelohall {

/// Records the calls of this daemon in time windows. While the daemon is an
/// aggregator of its data centre, also writes the windows of all daemons there
/// to the platform. Both aggregators of a data centre write each window; the
/// report discards the duplicates. Must be used on the I/O thread.
class slo_reporter {
 public:
  /// Receives an encoded window to send to the aggregators.
  using window_callback = std::function<void(std::string)>;

  /// @param gateway Must outlive the reporter.
  slo_reporter(std::string member, std::string data_centre,
               std::uint64_t incarnation, std::int64_t unix_seconds,
               platform_gateway& gateway, window_callback on_window);

  /// Records a completed call.
  void Record(const call_observation& observation);

  /// Sends the windows that have closed and retries pending writes. Must be
  /// called every second.
  void Tick(std::int64_t unix_seconds);

  /// Adds a window of any daemon of the data centre to the aggregator.
  void OnWindow(const std::string& payload);

  /// Updates the members of the cluster and this daemon's aggregator role in
  /// its data centre.
  void OnMembers(const std::vector<member_record>& members, bool is_aggregator,
                 std::int64_t unix_seconds);

  /// Closes and sends the current window before a graceful shutdown.
  void SendOpenWindow();

  /// Writes all collected windows, then calls `done`. If a write fails for any
  /// reason but a name conflict, calls `done` at once without a retry.
  void Flush(std::function<void()> done);

  /// Calls the callback of a Flush() that has not ended.
  void EndFlush() { CompleteFlush(); }

  /// Number of objects not yet written to the platform.
  std::size_t PendingObjects() const { return pending_.size(); }

 private:
  void Enqueue(std::vector<slo_object> objects);
  void WriteNextObject();
  void OnWritten(const result<void>& written);
  void CompleteFlush();

  const std::string member_;
  const std::string data_centre_;
  const std::uint64_t incarnation_;
  platform_gateway& gateway_;
  window_callback on_window_;
  slo_recorder recorder_;
  std::unique_ptr<slo_aggregator> aggregator_;  ///< Null if not an aggregator.
  std::deque<slo_object> pending_;
  bool writing_ = false;
  std::function<void()> on_flushed_;  ///< Set during Flush().
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_SLO_REPORTER_H_
