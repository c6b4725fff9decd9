#ifndef POMELOHALL_OPERATORS_CONFIGURATION_DIFF_H_
#define POMELOHALL_OPERATORS_CONFIGURATION_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "model/configuration.h"

namespace pomelohall {

/// Kind of change to a configuration item.
enum class difference_kind { kAdded, kRemoved, kChanged };

/// Returns "added", "removed" or "changed".
std::string_view DifferenceKindName(difference_kind kind);

/// One item that differs between two documents.
struct difference {
  difference_kind kind = difference_kind::kAdded;
  std::string item;    ///< "service <name>", "class <name>" or "route <...>".
  std::string before;  ///< Empty if added.
  std::string after;   ///< Empty if removed.

  bool operator==(const difference&) const = default;
};

/// Returns the items that differ: services, then classes, then routes, each
/// sorted by name. The order of items in the documents is ignored.
std::vector<difference> CompareConfigurations(const configuration& before,
                                              const configuration& after);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_CONFIGURATION_DIFF_H_
