#ifndef POMELOHALL_MEMBERSHIP_OVERLAY_H_
#define POMELOHALL_MEMBERSHIP_OVERLAY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohall {

/// Number of ring successors that a daemon pings and links to.
inline constexpr std::size_t kSuccessors = 3;
/// Number of pseudo-random members that a daemon links to in addition.
inline constexpr std::size_t kRandomLinks = 4;
/// Number of readers (also the aggregators) per data centre.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// Returns the other members in ring order, starting at the successor of
/// `self`. The ring orders members by the hash of their names.
/// @param members Names of live members of one data centre, with or without
///     `self`.
std::vector<std::string> RingAfter(std::string_view self,
                                   std::vector<std::string> members);

/// Returns the overlay links of `self`: the first kSuccessors of `ring` and
/// kRandomLinks further members chosen by rendezvous hashing, so that few links
/// change when a member joins or fails.
std::vector<std::string> OverlayLinks(std::string_view self,
                                      const std::vector<std::string>& ring);

/// Returns the readers of a data centre by rank, chosen by rendezvous hashing.
std::vector<std::string> ChooseReaders(std::vector<std::string> members);

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_OVERLAY_H_
