#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelohall {

/// What `distribution` needs of the membership at one instant.
struct membership_view {
  std::string self;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::vector<std::string> neighbours;  ///< Overlay links of this daemon.
  /// Readers (and aggregators) of the own data centre, first-ranked first.
  std::vector<std::string> readers;
  /// Readers of the other data centres.
  std::vector<std::string> other_readers;
  /// Incarnations of the alive and suspect members of the own data centre,
  /// this daemon included, by name.
  std::map<std::string, std::uint64_t> members;
  /// N of the commit quorum.
  std::size_t quorum_members = 0;
  /// False while this daemon may not know all members yet: N is too low then.
  bool complete = false;
  /// Grows whenever this process was paused or was declared dead.
  std::uint64_t absences = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
