#ifndef POMELOHALL_POLICY_CALL_PLAN_H_
#define POMELOHALL_POLICY_CALL_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "ledger/key_ledger.h"
#include "model/configuration.h"
#include "policy/retry_policy.h"
#include "routing/server_selector.h"
#include "routing/snapshot.h"

namespace pomelohall {

/// A call as the entry daemon received it.
struct plan_request {
  std::string service;
  std::string work_class;
  class_kind kind = class_kind::kLookup;
  /// Unique over all daemons and their restarts; made by the entry daemon, not
  /// taken from the caller. Answers must echo it. It is also the holder of the
  /// idempotency key (see key_ledger).
  std::string call_id;
  /// Value of Pomelohall-Attempt that the caller sent; 0 without.
  std::uint32_t inbound_attempt = 0;
  /// Whether the request has an idempotency key. Used for transactions only.
  bool has_key = false;
  instant deadline;
};

/// Settings of a call_plan.
struct plan_options {
  /// Time after the deadline in which the owner's own answer about the deadline
  /// may still arrive. It knows whether the request ran.
  duration answer_grace{50'000};
};

/// What the data path has to do.
enum class plan_action_kind {
  kAskGrant,       ///< Ask the home of the key; then OnGrant().
  kSend,           ///< Send attempt `attempt` to `server`.
  kCancelAttempt,  ///< Close the connection of `attempt`; no more events of it.
  kAnswerError,    ///< Answer the caller with `failure`.
  kAnswerKept,     ///< Answer the caller with `answer`.
  kDeliver,        ///< Pass the answer of `attempt` on to the caller.
  kEndDelivery,    ///< The answer is whole: end it for the caller.
  kAbortDelivery,  ///< Close the caller's connection without a proper end.
  kCompleteKey,    ///< Keep the whole answer of `attempt` at the home.
  kCompleteKeyNotKept,  ///< Tell the home that it ran but has no answer.
  kReleaseKey,          ///< Tell the home that it did not run.
};

/// Returns the name of an action, for example "ask_grant".
std::string_view PlanActionName(plan_action_kind kind);

struct plan_action {
  plan_action_kind kind = plan_action_kind::kSend;
  std::uint32_t attempt = 0;           ///< 1 for the first attempt.
  std::optional<server_entry> server;  ///< With kSend.
  std::optional<error> failure;        ///< With kAnswerError.
  std::optional<kept_answer> answer;   ///< With kAnswerKept.
};

/// The decisions of an entry daemon about one call: where to send it, whether
/// to send it again or twice, and what to tell the caller. Every function
/// returns the actions to run, in order. Events of attempts that ended are
/// ignored, so late events do no harm. Not thread-safe.
///
/// Use: Start(), then run actions and report events until Finished(). When
/// NextTimer() comes, call OnTimer().
class call_plan {
 public:
  using actions = std::vector<plan_action>;

  /// @param selector, retries Shared by all calls of the daemon; must outlive
  ///     the plan.
  call_plan(plan_request request, plan_options options,
            server_selector& selector, retry_policy& retries);

  actions Start(instant now);

  /// The home answered, or could not be asked (kUnavailable).
  actions OnGrant(const grant_answer& answer, instant now);

  /// The first byte of the attempt was handed to the owner's connection. Report
  /// it before writing.
  void OnSent(std::uint32_t attempt);

  /// The owner answered the attempt with an error. Its `ran` is believed.
  actions OnRefused(std::uint32_t attempt, const error& reason, instant now);

  /// The connection to the owner failed, could not be opened or was closed
  /// before the head of an answer.
  actions OnBroken(std::uint32_t attempt, error_kind kind, instant now);

  /// The head of an answer of the backend server arrived.
  /// @param echoed_call_id Pomelohall-Call-Id of the answer. A mismatch is
  ///     treated as a failure of the attempt; the connection must be closed.
  actions OnAnswerStarted(std::uint32_t attempt,
                          std::string_view echoed_call_id, instant now);

  /// The whole answer arrived.
  actions OnAnswerEnded(std::uint32_t attempt, instant now);

  /// The answer stopped after its head and before its end.
  actions OnCutShort(std::uint32_t attempt, instant now);

  /// The caller closed its connection. Transactions that were sent run on.
  actions OnCallerGone(instant now);

  /// Call it when the time of NextTimer() has come.
  actions OnTimer(instant now);

  /// Returns when OnTimer() is due next, or nothing.
  std::optional<instant> NextTimer() const;

  /// Returns whether no more events are expected. The plan may be destroyed.
  bool Finished() const;

  /// Returns whether the answer of `attempt` is being passed on to the caller.
  bool Delivers(std::uint32_t attempt) const {
    return phase_ == phase::kDelivering && delivering_ == attempt;
  }

  /// Returns the value of Pomelohall-Attempt to send with `attempt`.
  std::uint32_t AttemptHeader(std::uint32_t attempt) const {
    return request_.inbound_attempt + attempt - 1;
  }

 private:
  enum class phase {
    kNew,
    kGranting,    ///< Waits for the home of the key.
    kTrying,      ///< Attempts run; nothing was passed to the caller.
    kDelivering,  ///< The caller gets the answer of `delivering_`.
    kAnswered,    ///< The caller has its answer or error, or is gone.
  };

  struct attempt_state {
    std::uint32_t number = 0;
    std::string member;
    instant started_at;
    bool sent = false;
    bool answer_started = false;
    bool running = true;
  };

  bool UsesKey() const;
  /// When the call ends at the latest, the grace for the owner included.
  instant DeadlineTimer() const;
  /// Whether the attempt may not be cancelled because it may have run.
  bool MustRunOn(const attempt_state& attempt) const;
  attempt_state* Running(std::uint32_t number);
  std::size_t RunningCount() const;
  actions SendFirst(instant now);
  plan_action Send(server_entry server, instant now);
  void EndAttempt(attempt_state& attempt, const call_result& outcome,
                  instant now);
  static call_result Cancelled(const attempt_state& attempt, instant now);
  void CancelOthers(std::uint32_t keep, instant now, actions& out);
  actions OnAttemptFailed(attempt_state& attempt, const error& reason,
                          instant now);
  actions RetryOrFail(const error& reason, instant now);
  void ScheduleHedge(instant now);
  actions Hedge(instant now);
  actions OnDeadline(instant now);
  actions FailCaller(const error& reason);
  void SettleKeyAfterFailure(actions& out);
  error Describe(const error& reason) const;

  plan_request request_;
  plan_options options_;
  server_selector* selector_;
  retry_policy* retries_;
  phase phase_ = phase::kNew;
  std::vector<attempt_state> attempts_;
  std::vector<std::string> tried_members_;
  std::uint32_t delivering_ = 0;
  std::uint32_t retries_done_ = 0;
  std::uint32_t backend_failures_ = 0;
  instant started_at_{};
  std::optional<instant> hedge_at_;
  bool granted_ = false;
  bool key_settled_ = false;
  /// Strongest statement about any attempt so far.
  run_state ran_ = run_state::kNotRun;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_CALL_PLAN_H_
