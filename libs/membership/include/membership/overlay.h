#ifndef POMELOHALL_MEMBERSHIP_OVERLAY_H_
#define POMELOHALL_MEMBERSHIP_OVERLAY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohall {

/// Ring successors that a daemon pings and links to.
inline constexpr std::size_t kSuccessors = 3;
/// Pseudo-random members that a daemon links to besides its successors.
inline constexpr std::size_t kRandomLinks = 4;
/// Readers (and aggregators) of a data centre.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// Returns the other members of the ring in the order in which they follow
/// `self`. The ring orders members by the hash of their names.
/// @param members Names of live members of one data centre, with or without
///     `self`.
std::vector<std::string> RingAfter(std::string_view self,
                                   std::vector<std::string> members);

/// Returns the overlay links of `self`: the first kSuccessors of `ring` and
/// kRandomLinks further members chosen by rendezvous hashing, so that the
/// arrival or loss of a member moves few links.
std::vector<std::string> OverlayLinks(std::string_view self,
                                      const std::vector<std::string>& ring);

/// Returns the members that hold the roles of a data centre, first-ranked
/// first, by rendezvous hashing.
std::vector<std::string> RankReaders(std::vector<std::string> members);

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_OVERLAY_H_
