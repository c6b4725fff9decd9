#include "key_process.h"

namespace pomelohall::matrix::calls {

key_process::key_process(run_context& context, process_id self,
                         key_source source)
    : context_(context), self_(self), source_(source) {
  OnRestart();
}

void key_process::OnRestart() {
  // Claims at the platform survive restarts.
  if (source_ != key_source::kIssued) return;
  const auto epoch = context_.sim.EpochOf(self_);
  ledger_ = std::make_unique<key_ledger>("home", epoch,
                                         context_.options.seed * 100 + epoch);
}

std::string key_process::Issue() { return ledger_->Issue(context_.sim.Now()); }

grant_result key_process::Run(claim_op operation, const std::string& key,
                              const std::string& holder,
                              const stored_response& answer) {
  return source_ == key_source::kIssued
             ? RunIssued(operation, key, holder, answer)
             : RunChosen(operation, key, holder);
}

grant_result key_process::RunIssued(claim_op operation, const std::string& key,
                                    const std::string& holder,
                                    const stored_response& answer) {
  const auto now = context_.sim.Now();
  switch (operation) {
    case claim_op::kGrant: {
      auto granted = ledger_->Grant(key, holder, now);
      if (granted.verdict == grant_verdict::kGranted) last_holder_ = holder;
      if (context_.Defect("forget_granted_key")) {
        ledger_->Release(key, holder, now);
      }
      return granted;
    }
    case claim_op::kComplete:
      ledger_->Complete(key, holder, answer, now);
      return {};
    case claim_op::kCompleteNotKept:
      ledger_->Complete(key, holder, {.complete = false}, now);
      return {};
    case claim_op::kRelease:
      ledger_->Release(
          key,
          context_.Defect("release_without_holder") ? last_holder_ : holder,
          now);
      return {};
  }
  return {};
}

grant_result key_process::RunChosen(claim_op operation, const std::string& key,
                                    const std::string& holder) {
  const auto found = claims_.find(key);
  const bool is_holder = found != claims_.end() && found->second == holder;
  if (operation == claim_op::kRelease && is_holder) claims_.erase(found);
  if (operation != claim_op::kGrant) return {};
  if (found == claims_.end()) claims_.emplace(key, holder);
  const bool granted = found == claims_.end() || is_holder;
  return {granted ? grant_verdict::kGranted : grant_verdict::kOutcomeUnknown,
          std::nullopt};
}

}  // namespace pomelohall::matrix::calls
