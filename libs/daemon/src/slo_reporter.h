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

/// Counts the calls of this daemon in windows and, while the daemon is an
/// aggregator of its data centre, writes the windows of all its daemons to the
/// platform. Both aggregators write; the report drops what it meets twice. Used
/// on the I/O thread.
class slo_reporter {
 public:
  /// Receives an encoded window for the aggregator.
  using window_callback = std::function<void(std::string)>;

  /// @param gateway Must outlive the reporter.
  slo_reporter(std::string member, std::string data_centre,
               std::uint64_t incarnation, std::int64_t unix_seconds,
               platform_gateway& gateway, window_callback on_window);

  /// Counts a call that has ended.
  void Record(const call_observation& observation);

  /// Sends the windows that ended. To be called each second.
  void Tick(std::int64_t unix_seconds);

  /// Takes a window of any daemon of the data centre.
  void OnWindow(const std::string& payload);

  /// Takes the members of the cluster and whether this daemon is an aggregator
  /// of its data centre.
  void OnMembers(const std::vector<member_record>& members, bool is_aggregator,
                 std::int64_t unix_seconds);

  /// Sends the open window, for a planned stop.
  void SendOpenWindow();

  /// Writes everything collected, then calls `done`; gives up when the
  /// platform does not answer.
  void Flush(std::function<void()> done);

  /// Objects that the platform has not taken yet.
  std::size_t PendingObjects() const { return pending_.size(); }

 private:
  void Queue(std::vector<slo_object> objects);
  void WriteNext();
  void OnWritten(const result<void>& written);
  void EndFlush();

  const std::string member_;
  const std::string data_centre_;
  const std::uint64_t incarnation_;
  platform_gateway& gateway_;
  window_callback on_window_;
  slo_recorder recorder_;
  std::unique_ptr<slo_aggregator> aggregator_;  ///< While it has the role.
  std::deque<slo_object> pending_;
  bool writing_ = false;
  std::function<void()> flushed_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_SLO_REPORTER_H_
