#ifndef POMELOHALL_DISTRIBUTION_PULLER_H_
#define POMELOHALL_DISTRIBUTION_PULLER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution_options.h"
#include "membership/membership_view.h"
#include "model/image.h"

namespace pomelohall {

/// Selects the member from which an offered version is pulled: one member at a
/// time, and another one after a timeout. A daemon without any version pulls
/// the full state, preferably from members of its data centre that are not
/// readers, and backs off when they are busy.
class puller {
 public:
  puller(const distribution_options& options, std::uint64_t seed);

  /// Records that `from` holds `version`, which is above the held one.
  void OnOffer(const std::string& from, config_version version);

  /// Handles a source that is busy, has nothing newer or sent an invalid delta.
  void OnRefused(const std::string& from, instant now);

  /// Ends the running pull and resets the backoff, as a version was staged from
  /// any source.
  void OnStaged(config_version version);

  /// Returns the member to which a pull must be sent now, if any.
  /// @param held Highest version held; 0 asks for the full state.
  std::optional<std::string> NextSource(config_version held,
                                        const membership_view& view,
                                        instant now);

 private:
  struct pull_in_flight {
    std::string source;
    instant deadline;
  };

  std::optional<std::string> ChooseOfferer() const;
  std::optional<std::string> ChooseForFullState(const membership_view& view);
  void BackOff(instant now);

  distribution_options options_;
  random_source random_;
  std::map<std::string, config_version> offers_;  ///< By offerer.
  std::optional<pull_in_flight> in_flight_;
  instant not_before_{};
  std::size_t failures_ = 0;  ///< Since the last staged version.
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_PULLER_H_
