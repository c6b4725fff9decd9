#include "acceptance/acceptance_writer.h"

#include <utility>

#include "acceptance/config_objects.h"
#include "retry_backoff.h"

namespace pomelohall {
namespace {

// Returns the head, or that of version 0 if the object does not exist yet.
result<config_head> HeadOrEmpty(const result<stored_object>& answer) {
  if (answer) return ParseHeadObject(*answer);
  if (answer.error().kind == error_kind::kNotFound) return EmptyImage()->head;
  return tl::unexpected(answer.error());
}

// Number of sections created concurrently. All 64 at once would use up a large
// part of the write rate that the platform sustains; one at a time would take
// long on a slow platform.
constexpr std::size_t kMaxConcurrentSections = 8;

std::string Describe(const accepted_change& change) {
  return "version " + std::to_string(change.version) + " (change id " +
         change.change_id + ")";
}

}  // namespace

acceptance_writer::acceptance_writer(configuration document, std::string nonce,
                                     acceptance_options options,
                                     std::uint64_t seed)
    : document_(std::move(document)),
      nonce_(std::move(nonce)),
      options_(options),
      backoff_(std::make_unique<retry_backoff>(options.backoff_base,
                                               options.backoff_cap, seed)) {}

acceptance_writer::~acceptance_writer() = default;

acceptance_actions acceptance_writer::Start(instant now) {
  retry_deadline_ = now + options_.retry_timeout;
  const auto issues = Validate(document_);
  if (!issues.empty()) {
    return Finish({.outcome = Fail(error_kind::kInvalidConfiguration,
                                   FormatIssues(issues)),
                   .change_id = "",
                   .winner = std::nullopt});
  }
  return {read_head{}};
}

acceptance_actions acceptance_writer::OnHead(
    const result<stored_object>& answer, instant now) {
  if (paused_ || (step_ != step::kReadHead && step_ != step::kResolve)) {
    return {};
  }
  const auto head = HeadOrEmpty(answer);
  if (!head) return Retry(head.error(), now);
  const std::string version = answer ? answer->resource_version : "";
  if (step_ == step::kReadHead) {
    base_resource_version_ = version;
    return BuildFrom(*head);
  }
  if (*head == base_) base_resource_version_ = version;
  return Resolve(*head);
}

acceptance_actions acceptance_writer::BuildFrom(const config_head& base) {
  config_image previous;
  previous.head = base;
  auto image =
      BuildImage(document_, &previous, MakeChangeId(base.version + 1, nonce_));
  if (!image) {
    return Finish({.outcome = tl::unexpected(image.error()),
                   .change_id = "",
                   .winner = std::nullopt});
  }
  if (base.version > 0 && (*image)->head.digest == base.digest) {
    return Finish({.outcome = accepted_change{base.version, base.change_id},
                   .change_id = "",
                   .winner = std::nullopt,
                   .changed = false});
  }
  base_ = base;
  image_ = std::move(*image);
  step_ = step::kSections;
  ListChangedSections();
  return CreateSections();
}

void acceptance_writer::ListChangedSections() {
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    const section_ref& section = image_->head.sections[i];
    if (section.changed_at == image_->head.version) {
      sections_to_create_.emplace(section.digest, i);
    }
  }
}

acceptance_actions acceptance_writer::CreateSections() {
  acceptance_actions actions;
  while (!sections_to_create_.empty() &&
         sections_in_flight_.size() < kMaxConcurrentSections) {
    const auto inserted = sections_in_flight_.insert(
        sections_to_create_.extract(sections_to_create_.begin()));
    const auto& [digest, index] = *inserted.position;
    actions.emplace_back(
        create_section{MakeSectionObject(digest, *image_->sections[index])});
  }
  if (!sections_in_flight_.empty()) return actions;
  step_ = step::kWriteHead;
  return WriteHead();
}

acceptance_actions acceptance_writer::OnSection(
    const std::string& digest, const result<stored_object>& answer,
    instant now) {
  auto section = sections_in_flight_.extract(digest);
  if (!section) return {};
  // Sections are named by their digest, so an existing section has the same
  // content.
  if (!answer && answer.error().kind != error_kind::kConflict) {
    section_failure_ = answer.error();
    sections_to_create_.insert(std::move(section));
  }
  if (step_ != step::kSections) return {};
  if (section_failure_) return RetrySections(now);
  return CreateSections();
}

// Waits for the answers of the other sections in flight, so that none arrives
// during the pause.
acceptance_actions acceptance_writer::RetrySections(instant now) {
  if (!sections_in_flight_.empty()) return {};
  const auto failure = std::exchange(section_failure_, std::nullopt);
  return Retry(*failure, now);
}

acceptance_actions acceptance_writer::WriteHead() {
  return {write_head{MakeHeadObject(image_->head, base_resource_version_),
                     image_->head.change_id}};
}

acceptance_actions acceptance_writer::OnHeadWritten(
    const result<stored_object>& answer, instant now) {
  if (paused_ || step_ != step::kWriteHead) return {};
  if (answer) {
    return Finish({.outcome = accepted_change{image_->head.version,
                                              image_->head.change_id},
                   .change_id = image_->head.change_id,
                   .winner = std::nullopt});
  }
  if (answer.error().ran != run_state::kNotRun) maybe_written_ = true;
  step_ = step::kResolve;
  const bool conflict = answer.error().kind == error_kind::kConflict ||
                        answer.error().kind == error_kind::kNotFound;
  if (!conflict) return Retry(answer.error(), now);
  if (!std::exchange(conflicted_, true)) return {read_head{}};
  // The update was rejected twice although the head was unchanged when read in
  // between. The pause and the retry deadline prevent an endless loop.
  return Retry(
      {error_kind::kPlatformUnavailable,
       "the platform reports conflicts although the head is unchanged"},
      now);
}

acceptance_actions acceptance_writer::Resolve(const config_head& head) {
  const auto answer =
      LookUpChange({image_->head.version, image_->head.change_id}, head);
  switch (answer.status) {
    case change_status::kAccepted:
      return Finish({.outcome = accepted_change{image_->head.version,
                                                image_->head.change_id},
                     .change_id = image_->head.change_id,
                     .winner = std::nullopt});
    case change_status::kSuperseded:
      return FinishSuperseded(answer.winner);
    case change_status::kPending:
      return ResolvePending(head);
    case change_status::kNotRecorded:
      break;
  }
  if (!maybe_written_) {
    return FinishSuperseded(accepted_change{head.version, head.change_id});
  }
  return FinishUnknown("the head is at version " +
                       std::to_string(head.version) +
                       " and no longer lists the change id");
}

// Repeating the update is safe: its condition fails if the first one took
// effect.
acceptance_actions acceptance_writer::ResolvePending(const config_head& head) {
  if (head == base_) {
    step_ = step::kWriteHead;
    return WriteHead();
  }
  const std::string reason = "the head was replaced: it was version " +
                             std::to_string(base_.version) +
                             " and is version " + std::to_string(head.version);
  if (maybe_written_) return FinishUnknown(reason);
  return Finish({.outcome = Fail(error_kind::kConflict, reason),
                 .change_id = "",
                 .winner = std::nullopt});
}

acceptance_actions acceptance_writer::Retry(const error& failure, instant now) {
  const bool transient = failure.kind == error_kind::kPlatformUnavailable;
  if (!transient || now >= retry_deadline_) return FinishFailed(failure);
  paused_ = true;
  return {pause_for{backoff_->Next()}};
}

acceptance_actions acceptance_writer::OnPauseEnded(instant now) {
  if (!paused_) return {};
  paused_ = false;
  if (now >= retry_deadline_) {
    return FinishFailed({error_kind::kPlatformUnavailable,
                         "the platform did not answer in time"});
  }
  if (step_ == step::kSections) return CreateSections();
  return {read_head{}};
}

acceptance_actions acceptance_writer::FinishFailed(const error& failure) {
  if (maybe_written_) return FinishUnknown(failure.message);
  // Sections have no effect without an update of the head, so nothing changed
  // even if the answer to a section write was lost.
  return Finish({.outcome = tl::unexpected(
                     error(failure.kind, failure.message + "; nothing changed",
                           run_state::kNotRun)),
                 .change_id = "",
                 .winner = std::nullopt});
}

acceptance_actions acceptance_writer::FinishSuperseded(
    std::optional<accepted_change> winner) {
  const std::string text =
      winner ? "another change was accepted first: " + Describe(*winner) +
                   "; compare with `diff` and apply again"
             : "another change was accepted first";
  return Finish({.outcome = Fail(error_kind::kConflict, text),
                 .change_id = "",
                 .winner = std::move(winner)});
}

acceptance_actions acceptance_writer::FinishUnknown(const std::string& reason) {
  const std::string& id = image_->head.change_id;
  return Finish({.outcome = Fail(
                     error_kind::kOutcomeUnknown,
                     "the outcome of change " + id + " is unknown: " + reason),
                 .change_id = id,
                 .winner = std::nullopt});
}

acceptance_actions acceptance_writer::Finish(acceptance_done done) {
  step_ = step::kDone;
  return {std::move(done)};
}

}  // namespace pomelohall
