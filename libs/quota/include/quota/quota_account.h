#ifndef POMELOHALL_QUOTA_QUOTA_ACCOUNT_H_
#define POMELOHALL_QUOTA_QUOTA_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/time.h"
#include "quota/quota_message.h"

namespace pomelohall {

/// Decision about a request of a tenant.
enum class quota_decision {
  kAdmit,   ///< It is within the quota and has been counted.
  kWait,    ///< Unknown until the next answer of the coordinator.
  kRefuse,  ///< The quota is used up.
};

inline constexpr name_table<quota_decision, 3> kQuotaDecisionNames{{{
    {quota_decision::kAdmit, "admit"},
    {quota_decision::kWait, "wait"},
    {quota_decision::kRefuse, "refuse"},
}}};

/// Settings of a quota_account.
struct quota_account_options {
  std::string member;             ///< Name of this daemon.
  std::uint64_t incarnation = 0;  ///< Differs for each process.
  /// Time between two reports, also without requests: the coordinator counts
  /// the members that report.
  duration report_interval = std::chrono::milliseconds(200);
  /// Shortest time between two reports, if a request waits for one.
  duration min_interval = std::chrono::milliseconds(50);
  /// Tokens expire after this time, before the coordinator gives up on them.
  duration token_lifetime = std::chrono::milliseconds(450);
};

/// Quotas of the tenants at one daemon.
///
/// A tenant far below its limit pays afterwards: its requests are admitted at
/// once and reported with the next report. One that is close to the limit pays
/// in advance, with tokens from the coordinator. Without that difference, each
/// request of the many small tenants would need an exchange of its own.
class quota_account {
 public:
  explicit quota_account(quota_account_options options);

  void SetLimits(const quota_limits& limits);
  /// Sets the number of members of the fleet, those that are gone included.
  void SetMemberCount(std::size_t count);

  /// Decides about a request of `tenant`. After kWait, call RequestAgain() when
  /// a report was answered or has failed.
  quota_decision Request(const std::string& tenant, instant now);
  quota_decision RequestAgain(const std::string& tenant, instant now);
  /// Takes a request back that was admitted and has not run.
  void Return(const std::string& tenant);
  /// Returns the time until the tenant's tokens cover the requests that were
  /// refused lately and one more.
  duration RetryAfter(const std::string& tenant) const;

  bool IsReportDue(instant now) const;
  /// Starts a report. OnAnswer() or OnFailed() has to follow.
  quota_report TakeReport(instant now);
  /// @param asked_at When the report was taken.
  void OnAnswer(const quota_answer& answer, instant asked_at, instant now);
  void OnFailed() { is_reporting_ = false; }

 private:
  struct tenant_state {
    quota_limit limit;
    double tokens = 0;
    instant expires_at;
    double debt = 0;  ///< Admitted and not reported yet.
    bool is_tight = true;
    /// The last report asked for tokens and got none.
    bool is_exhausted = false;
    double wanted = 0;       ///< Tokens that the last report asked for.
    double demand = 0;       ///< Requests since the last report.
    double mean_demand = 0;  ///< Moving average of the demand of a report.
    double refused = 0;      ///< Refusals since the last report.
    double mean_refused = 0;
    double own_tokens = 0;  ///< Without a coordinator.
    instant own_filled_at;
  };

  bool IsConnected(instant now) const;
  double MaxDebt(const tenant_state& state) const;
  quota_decision RequestWithoutCoordinator(tenant_state& state, instant now);

  const quota_account_options options_;
  std::map<std::string, tenant_state> tenants_;
  std::size_t member_count_ = 0;
  std::uint64_t sequence_ = 0;
  bool is_reporting_ = false;
  bool is_awaited_ = false;
  instant last_report_;
  std::optional<instant> last_answer_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUOTA_QUOTA_ACCOUNT_H_
