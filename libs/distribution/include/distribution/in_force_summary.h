#ifndef POMELOHALL_DISTRIBUTION_IN_FORCE_SUMMARY_H_
#define POMELOHALL_DISTRIBUTION_IN_FORCE_SUMMARY_H_

#include <cstddef>
#include <string>

#include "model/image.h"

namespace pomelohall {

/// Versions in force in one data centre, as reported to its aggregator.
struct in_force_summary {
  std::string data_centre;
  std::size_t members = 0;            ///< Alive and suspect members.
  config_version lowest_version = 0;  ///< 0: a member has none in force.
  config_version highest_version = 0;
  std::size_t members_at_highest = 0;

  bool operator==(const in_force_summary&) const = default;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_IN_FORCE_SUMMARY_H_
