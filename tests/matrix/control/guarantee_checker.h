#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_GUARANTEE_CHECKER_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_GUARANTEE_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "matrix/matrix.h"
#include "membership/membership.h"
#include "model/image.h"

namespace pomelohall::matrix {

/// Routing data of a daemon, built from one configuration image and one state
/// of the member table, and replaced when either changes.
struct routing_state {
  config_image_ptr image;
  std::vector<member_record> servers;  ///< Members with a ready server.
};

/// Checks the guarantees of the control plane while a cluster runs and collects
/// the violations.
class guarantee_checker {
 public:
  /// Must be called when a daemon puts a version into force. Checks no_regress,
  /// also across restarts, and whole_version against the accepted versions.
  void OnPutInForce(const std::string& member, const config_image& image,
                    const std::map<config_version, config_image_ptr>& accepted,
                    instant now);

  /// Checks no_dangling: all servers routed to are live members in the daemon's
  /// member table.
  void CheckRouting(const std::string& member, const routing_state& routing,
                    const membership& table, instant now);

  void Report(guarantee which, std::string detail, instant now);

  const std::vector<violation>& Violations() const { return violations_; }

 private:
  std::map<std::string, config_version> highest_in_force_;
  std::vector<violation> violations_;
};

/// Builds the routing state of a daemon from its image and member table.
routing_state BuildRouting(config_image_ptr image, const membership& table);

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_GUARANTEE_CHECKER_H_
