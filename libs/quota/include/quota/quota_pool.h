#ifndef POMELOHALL_QUOTA_QUOTA_POOL_H_
#define POMELOHALL_QUOTA_QUOTA_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "quota/quota_message.h"

namespace pomelohall {

/// Settings of a quota_pool.
struct quota_pool_options {
  /// A member that has not reported for this time is cut off or gone. Its
  /// tokens have expired by then. Until then both parts of a fleet that has
  /// just been cut count it, so the time is kept short.
  duration member_timeout = std::chrono::milliseconds(500);
  /// Tokens that are lent beyond the bucket, so that a tenant with a small
  /// burst whose tokens are held by some daemons is not refused at others.
  /// Within the slack that the limits allow. A new coordinator reaches it
  /// gradually, as each that follows another in a window would lend it again.
  double overdraft = 4;
  duration overdraft_time = std::chrono::seconds(5);
  /// Part of the rate that buckets are filled at. The rest makes up for the
  /// moments in which two parts of a fleet both count a member.
  double fill_share = 0.95;
  /// Part of the burst below which requests need tokens.
  double tight_level = 0.8;
};

/// Token buckets of all tenants at the coordinator of a fleet.
///
/// Tokens in a bucket and those that daemons hold make up the burst at most, so
/// that in any window the tenant uses its rate and burst, and the overdraft, at
/// most. A new coordinator starts with empty buckets: its predecessor may have
/// lent all of the burst.
///
/// A fleet that is cut in parts has a coordinator in each. Each fills its
/// buckets at the share of the members that report to it, and up to that share
/// of the burst, so that all of them together do not exceed the limit.
class quota_pool {
 public:
  explicit quota_pool(quota_pool_options options = {}) : options_(options) {}

  /// Sets the limits. A bucket whose limit is lowered holds no more than the
  /// new burst.
  void SetLimits(const quota_limits& limits, instant now);

  /// Sets the number of members of the fleet, those that are gone included.
  void SetMemberCount(std::size_t count) { member_count_ = count; }

  quota_answer OnReport(const quota_report& report, instant now);

  /// Returns the tokens in the bucket of a tenant, below 0 while an overdraft
  /// is repaid.
  double Level(const std::string& tenant) const;
  /// Returns the number of members that report here.
  std::size_t Reporters() const { return members_.size(); }

 private:
  struct bucket {
    quota_limit limit;
    double level = 0;
    double lent = 0;  ///< Tokens that members hold.
    instant filled_at;
  };
  struct member_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    instant reported_at;
    std::map<std::string, double> held;
  };

  // Starts as a new coordinator.
  void Start(instant now);
  // Forgets members that do not report, and the tokens that they held.
  void Expire(instant now);
  void Fill(bucket& target, instant now) const;

  const quota_pool_options options_;
  std::size_t member_count_ = 0;
  instant started_at_;
  std::map<std::string, bucket> buckets_;
  std::map<std::string, member_state> members_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUOTA_QUOTA_POOL_H_
