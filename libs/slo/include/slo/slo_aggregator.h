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

/// Plural of the objects with the figures on the platform.
inline constexpr const char* kSloPlural = "slowindows";

/// Length of the time that one object covers, in seconds.
inline constexpr std::int64_t kSloMinuteSeconds = 60;

/// A member of the data centre as the aggregator's member table has it.
struct slo_member {
  std::string name;
  bool left = false;  ///< Stopped as planned, after it sent its last window.
};

/// An object to create on the platform, plural `slowindows`.
struct slo_object {
  /// "<dc>.<member>.<minute>", with ".<part>" for further objects of a minute.
  /// If the name is taken (by an earlier process of this member, or by a write
  /// whose answer was lost), append "." and the incarnation. The report drops
  /// windows that it meets twice.
  std::string name;
  std::string spec;  ///< JSON; the report reads it.
};

/// Collects the windows of the daemons of one data centre and turns them into
/// one object per minute. Pure: times are passed in. Not thread-safe.
///
/// A member that vanishes is charged with two windows in which every request
/// missed, at the rate of the last window it reported: what it counted last
/// was lost with it. If the real windows arrive after all, they replace the
/// charge.
class slo_aggregator {
 public:
  /// @param member Name of this daemon; part of the objects' names.
  slo_aggregator(std::string data_centre, std::string member);

  /// Takes a window of a daemon. A window known already is ignored.
  void OnWindow(slo_window window);

  /// Takes the members of the data centre: alive or suspect ones, and those
  /// that left. Members not listed have vanished. Call it at least once per
  /// window.
  void SetMembers(const std::vector<slo_member>& members,
                  std::int64_t unix_seconds);

  /// Returns the objects of minutes that ended at least 25 s ago: time for the
  /// last windows to arrive and for vanished members to be noticed. Windows
  /// that arrive later are part of the next object. A minute gives more than
  /// one object only if it exceeds what the platform stores in a value.
  std::vector<slo_object> CloseMinutes(std::int64_t unix_seconds);

  /// Returns everything collected, for a planned stop.
  std::vector<slo_object> CloseAll();

 private:
  /// (member, incarnation, window) identifies a window.
  using window_key = std::tuple<std::string, std::uint64_t, std::int64_t>;

  struct entry {
    slo_window window;
    bool charged = false;
  };

  struct process {
    std::uint64_t incarnation = 0;
    slo_window last;
  };

  void ChargeVanished(const process& gone);
  void Forget(std::int64_t before_window);
  std::vector<slo_object> ObjectsUpTo(std::int64_t end_window);
  std::vector<slo_object> ObjectsFor(std::int64_t minute,
                                     const std::vector<const entry*>& entries);
  std::string NextObjectName(std::int64_t minute);

  std::string data_centre_;
  std::string member_;
  std::map<std::string, process> processes_;  ///< By member name.
  std::map<window_key, entry> pending_;
  /// Windows written lately, to ignore repetitions.
  std::map<window_key, bool> written_;
  /// Number of members per window, for finding windows that are missing.
  std::map<std::int64_t, std::uint64_t> expected_;
  std::map<std::int64_t, std::size_t> objects_;  ///< Written, per minute.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_AGGREGATOR_H_
