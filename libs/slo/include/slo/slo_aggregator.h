#ifndef POMELOHALL_SLO_SLO_AGGREGATOR_H_
#define POMELOHALL_SLO_SLO_AGGREGATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "slo/slo_window.h"

namespace pomelohall {

/// Plural resource name of the objects that hold SLO windows.
inline constexpr const char* kSloWindowPlural = "slowindows";

/// Time covered by one object, in seconds.
inline constexpr std::int64_t kSloMinuteSeconds = 60;

/// A member of the data centre, as listed in the aggregator's member table.
struct slo_member {
  std::string name;
  bool left = false;  ///< Shut down cleanly after sending its last window.
};

/// An object to create on the platform, plural `slowindows`.
struct slo_object {
  /// "<dc>.<member>.<minute>", with ".<part>" for further objects of a minute.
  /// If the name already exists (from an earlier process of this member, or
  /// from a write whose response was lost), append "." and the incarnation. The
  /// report drops duplicate windows.
  std::string name;
  std::string spec;  ///< JSON, parsed by MakeSloReport().
};

/// Aggregates the windows of all daemons of one data centre into one object per
/// minute. Performs no I/O and reads no clock. Not thread-safe.
///
/// A member that vanishes loses the windows it had not sent yet. Two windows
/// are assumed in their place, with the request count of the last reported
/// window and every request missed. If the reported windows arrive later, they
/// replace the assumed ones.
class slo_aggregator {
 public:
  /// @param member Name of this daemon; part of the objects' names.
  slo_aggregator(std::string data_centre, std::string member);

  /// Adds a window reported by a daemon. Duplicates are ignored.
  void OnWindow(slo_window window);

  /// Updates the members of the data centre: alive, suspect and left. A member
  /// that is no longer listed has vanished. Must be called at least once per
  /// window.
  void SetMembers(const std::vector<slo_member>& members,
                  std::int64_t unix_seconds);

  /// Returns the objects of minutes that ended at least 25 s ago, so that the
  /// last windows have arrived and vanished members have been detected. Windows
  /// that arrive later go into a further object of their minute. A minute is
  /// also split if it exceeds the platform's limit on the size of a value.
  std::vector<slo_object> CloseMinutes(std::int64_t unix_seconds);

  /// Returns the objects of all pending windows, for a clean shutdown.
  std::vector<slo_object> CloseAll();

 private:
  /// (member, incarnation, window) identifies a window.
  using window_key = std::tuple<std::string, std::uint64_t, std::int64_t>;

  struct entry {
    slo_window window;
    bool assumed = false;
  };

  struct member_process {
    std::uint64_t incarnation = 0;
    slo_window last;
  };

  void AssumeLostWindows(const member_process& vanished_process);
  void EraseWindowsBefore(std::int64_t before_window);
  std::vector<slo_object> BuildObjectsBefore(std::int64_t end_window);
  std::vector<slo_object> BuildObjectsOfMinute(
      std::int64_t minute, const std::vector<const entry*>& entries);
  std::string NextObjectName(std::int64_t minute);

  std::string data_centre_;
  std::string member_;
  std::map<std::string, member_process> processes_;  ///< By member name.
  std::map<window_key, entry> pending_;
  /// Recently written windows and whether they were assumed, for deduplication.
  std::map<window_key, bool> written_;
  /// Number of members per window, to detect missing windows.
  std::map<std::int64_t, std::uint64_t> expected_;
  std::map<std::int64_t, std::size_t> object_counts_;  ///< By minute.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_AGGREGATOR_H_
