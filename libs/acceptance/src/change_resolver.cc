#include "acceptance/change_resolver.h"

#include <utility>

#include "acceptance/config_objects.h"
#include "retry_backoff.h"

namespace pomelohall {

change_resolver::change_resolver(const std::string& change_id,
                                 acceptance_options options, std::uint64_t seed)
    : change_{VersionOfChangeId(change_id).value_or(0), change_id},
      options_(options),
      backoff_(std::make_unique<retry_backoff>(options.backoff_base,
                                               options.backoff_cap, seed)) {}

change_resolver::~change_resolver() = default;

acceptance_actions change_resolver::Start(instant now) {
  retry_deadline_ = now + options_.retry_timeout;
  if (change_.version > 0) return {read_head{}};
  return Finish(
      {.outcome = Fail(error_kind::kInvalidRequest,
                       "invalid change id \"" + change_.change_id +
                           "\": expected <version>-<text> as printed by apply"),
       .change_id = "",
       .winner = std::nullopt});
}

acceptance_actions change_resolver::OnHead(const result<stored_object>& answer,
                                           instant now) {
  if (done_) return {};
  if (!answer && answer.error().kind == error_kind::kNotFound) {
    return Decide(EmptyImage()->head);
  }
  const auto head =
      answer ? ParseHeadObject(*answer) : tl::unexpected(answer.error());
  if (head) return Decide(*head);
  const bool transient = head.error().kind == error_kind::kPlatformUnavailable;
  if (transient && now < retry_deadline_) return {pause_for{backoff_->Next()}};
  return Finish({.outcome = Fail(error_kind::kOutcomeUnknown,
                                 "the outcome of change " + change_.change_id +
                                     " is unknown: " + head.error().message),
                 .change_id = change_.change_id,
                 .winner = std::nullopt});
}

acceptance_actions change_resolver::OnPauseEnded(instant) {
  if (done_) return {};
  return {read_head{}};
}

acceptance_actions change_resolver::Decide(const config_head& head) {
  const std::string head_text =
      "the head is at version " + std::to_string(head.version);
  const auto answer = LookUpChange(change_, head);
  acceptance_done done{.outcome = change_,
                       .change_id = change_.change_id,
                       .winner = answer.winner};
  switch (answer.status) {
    case change_status::kAccepted:
      break;
    case change_status::kPending:
      done.outcome = Fail(error_kind::kNotFound,
                          "change " + change_.change_id +
                              " has not taken effect: " + head_text);
      break;
    case change_status::kSuperseded:
      done.outcome =
          Fail(error_kind::kConflict,
               "change " + change_.change_id +
                   " did not take effect; accepted instead: change " +
                   answer.winner->change_id);
      break;
    case change_status::kNotRecorded:
      done.outcome = Fail(error_kind::kOutcomeUnknown,
                          "the outcome of change " + change_.change_id +
                              " is no longer recorded: " + head_text);
      break;
  }
  return Finish(std::move(done));
}

acceptance_actions change_resolver::Finish(acceptance_done done) {
  done_ = true;
  return {std::move(done)};
}

}  // namespace pomelohall
