#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelohall {

/// A copy of the membership data that `distribution` uses.
struct membership_view {
  std::string self;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::vector<std::string> neighbours;  ///< Overlay links of this daemon.
  /// Readers (also the aggregators) of this data centre, by rank.
  std::vector<std::string> readers;
  /// Readers of the other data centres.
  std::vector<std::string> remote_readers;
  /// Incarnations by name of the alive and suspect members of this data centre,
  /// including this daemon.
  std::map<std::string, std::uint64_t> members;
  /// Number of members from which the commit quorum is computed.
  std::size_t quorum_members = 0;
  /// False while members may be missing, so that `quorum_members` may be too
  /// low.
  bool complete = false;
  /// Incremented when this process was paused or was declared dead.
  std::uint64_t interruptions = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
