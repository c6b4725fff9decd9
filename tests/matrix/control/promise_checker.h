#ifndef POMELOHALL_TESTS_MATRIX_CONTROL_PROMISE_CHECKER_H_
#define POMELOHALL_TESTS_MATRIX_CONTROL_PROMISE_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "matrix/matrix.h"
#include "membership/membership.h"
#include "model/image.h"

namespace pomelohall::matrix {

/// What a daemon routes by: built from one image and one state of the member
/// table, replaced when either changes.
struct routing_state {
  config_image_ptr image;
  std::vector<member_record> servers;  ///< Members with a ready server.
};

/// Checks the promises of the control plane while a network runs, and collects
/// the violations.
class promise_checker {
 public:
  /// A daemon puts a version into force. Checks no_regress, over restarts
  /// too, and whole_version against what the platform accepted.
  void OnPutInForce(const std::string& member, const config_image& image,
                    const std::map<config_version, config_image_ptr>& accepted,
                    instant now);

  /// Checks no_dangling: routes name what the document has, and servers are
  /// members that the daemon has as live and ready.
  void CheckRouting(const std::string& member, const routing_state& routing,
                    const membership& table, instant now);

  void Report(promise which, std::string detail, instant now);

  const std::vector<violation>& Violations() const { return violations_; }

 private:
  std::map<std::string, config_version> highest_in_force_;
  std::vector<violation> violations_;
};

/// Returns the routing state that a daemon builds from its table.
routing_state BuildRouting(config_image_ptr image, const membership& table);

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_CONTROL_PROMISE_CHECKER_H_
