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

/// Finds the version floor of a daemon that started or was paused: a version at
/// least as high as any that it had in force before. Asks a reader for a fresh
/// head. If the platform or the readers do not answer, asks the other members
/// of the data centre for the versions that they hold: with N members and a
/// commit quorum of W, R = N - W + 1 answers suffice.
class recovery {
 public:
  /// Messages to send after a tick.
  struct query_plan {
    std::optional<std::string> fresh_query_to;  ///< May be this daemon.
    std::vector<std::string> recover_query_to;
  };

  explicit recovery(const distribution_options& options);

  /// Starts a recovery. Its floor is unknown until enough answers arrive.
  /// @param id Differs from the ids of all earlier recoveries and processes.
  void Begin(std::uint64_t id, instant now);

  /// Id of the queries, which answers must repeat.
  std::uint64_t Id() const { return id_; }

  /// The floor, or nothing while it is unknown.
  const std::optional<config_version>& Floor() const { return floor_; }

  query_plan Tick(const membership_view& view, instant now);
  void OnFreshAnswer(const fresh_answer_message& answer);
  void OnRecoverAnswer(const std::string& from,
                       const recover_answer_message& answer,
                       const membership_view& view);

 private:
  distribution_options options_;
  std::uint64_t id_ = 0;
  instant started_at_{};
  std::optional<config_version> floor_;
  bool platform_unavailable_ = false;
  instant next_fresh_query_{};
  instant next_recover_query_{};
  std::size_t fresh_attempts_ = 0;
  /// Versions held by the recovered members that answered, by member.
  std::map<std::string, config_version> answers_;
  /// Highest number of quorum members reported in an answer or by the view.
  std::size_t quorum_members_ = 0;
};

/// Returns W, the number of members that must hold a version for its commit.
constexpr std::size_t CommitQuorum(std::size_t members) {
  return members / 2 + 1;
}

/// Returns R, the number of members that overlaps with every commit quorum, so
/// that one of them holds a committed version.
constexpr std::size_t RecoverQuorum(std::size_t members) {
  return members - CommitQuorum(members) + 1;
}

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_RECOVERY_H_
