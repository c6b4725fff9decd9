#ifndef POMELOHALL_ROLLOUT_EXPOSURE_LIMITER_H_
#define POMELOHALL_ROLLOUT_EXPOSURE_LIMITER_H_

namespace pomelohall {

/// Limits the requests of one daemon that go to the target version of a
/// roll-out to a share of those that have reached the other servers. It starts
/// at zero and never allows a request in advance, so the sum over all daemons
/// keeps the share without an exchange between them, also if they are cut off
/// from each other or restart.
class exposure_limiter {
 public:
  /// Counts a request that has reached a server of another version.
  /// @param share Requests to the target version per such request.
  void OnOtherVersion(double share);

  /// Takes one request to the target version. Returns false if its share has
  /// been used.
  bool TryTake();

  /// Returns a request that was taken but not sent.
  void Return();

 private:
  // A daemon whose target servers are away saves up no burst for later.
  static constexpr double kMaxCredit = 2;

  double credit_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROLLOUT_EXPOSURE_LIMITER_H_
