#ifndef POMELOHALL_DISTRIBUTION_RECOVERY_H_
#define POMELOHALL_DISTRIBUTION_RECOVERY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/distribution_options.h"
#include "membership/membership_view.h"
#include "messages/message.h"

namespace pomelohall {

/// Finds the floor of a starting (or paused) daemon: a version at least as high
/// as any that it had in force before. R1 asks a reader for a fresh head, R2
/// asks R = N - W + 1 other members of the data centre for what they hold.
class recovery {
 public:
  /// Messages to send after a tick.
  struct plan {
    std::optional<std::string> fresh_query_to;  ///< May be this daemon.
    std::vector<std::string> recover_query_to;
  };

  explicit recovery(const distribution_options& options);

  /// Starts over; the floor is unknown until an answer arrives.
  /// @param id Differs from the ids of all earlier processes and attempts.
  void Begin(std::uint64_t id, instant now);

  /// Id that queries carry and answers must repeat.
  std::uint64_t Id() const { return id_; }

  /// The floor, or nothing before the first answer that suffices.
  const std::optional<config_version>& Floor() const { return floor_; }

  plan Tick(const membership_view& view, instant now);
  void OnFreshAnswer(const fresh_answer_message& answer);
  void OnRecoverAnswer(const std::string& from,
                       const recover_answer_message& answer,
                       const membership_view& view);

 private:
  distribution_options options_;
  std::uint64_t id_ = 0;
  instant started_{};
  std::optional<config_version> floor_;
  bool platform_unavailable_ = false;
  instant next_fresh_{};
  instant next_recover_{};
  std::size_t fresh_attempts_ = 0;
  std::map<std::string, config_version> answers_;  ///< Of recovered members.
  std::size_t quorum_members_ = 0;  ///< Highest N that was stated.
};

/// Returns W, the members that must hold a version before its commit.
constexpr std::size_t CommitQuorum(std::size_t members) {
  return members / 2 + 1;
}

/// Returns R, the members of which one holds every committed version.
constexpr std::size_t RecoverQuorum(std::size_t members) {
  return members - CommitQuorum(members) + 1;
}

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_RECOVERY_H_
