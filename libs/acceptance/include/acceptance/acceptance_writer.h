#ifndef POMELOHALL_ACCEPTANCE_ACCEPTANCE_WRITER_H_
#define POMELOHALL_ACCEPTANCE_ACCEPTANCE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "acceptance/acceptance_state_machine.h"
#include "model/configuration.h"
#include "model/image.h"

namespace pomelohall {

class retry_backoff;

/// Writes one new version (docs/design.md, section 5): validates the whole
/// document, reads the head, creates the changed sections and updates the head
/// on condition that it has not changed since it was read. A state machine
/// without I/O: it takes answers and returns actions.
///
/// The condition makes retries safe: an update that is delayed or sent twice
/// takes effect at most once, and a newer head is never overwritten. After a
/// conflict or a lost answer the head is read again, and the change ids in it
/// determine the outcome.
class acceptance_writer : public acceptance_state_machine {
 public:
  /// @param nonce See MakeChangeId().
  /// @param seed Seed of the jitter of the pauses.
  acceptance_writer(configuration document, std::string nonce,
                    acceptance_options options, std::uint64_t seed);
  ~acceptance_writer() override;
  acceptance_writer(const acceptance_writer&) = delete;
  acceptance_writer& operator=(const acceptance_writer&) = delete;

  acceptance_actions Start(instant now) override;
  acceptance_actions OnHead(const result<stored_object>& answer,
                            instant now) override;
  acceptance_actions OnSection(const std::string& digest,
                               const result<stored_object>& answer,
                               instant now) override;
  acceptance_actions OnHeadWritten(const result<stored_object>& answer,
                                   instant now) override;
  acceptance_actions OnPauseEnded(instant now) override;

 private:
  enum class step { kReadHead, kSections, kWriteHead, kResolve, kDone };

  acceptance_actions BuildFrom(const config_head& base);
  void ListChangedSections();
  acceptance_actions CreateSections();
  acceptance_actions RetrySections(instant now);
  acceptance_actions WriteHead();
  acceptance_actions Resolve(const config_head& head);
  acceptance_actions ResolvePending(const config_head& head);
  acceptance_actions Retry(const error& failure, instant now);
  acceptance_actions FinishFailed(const error& failure);
  acceptance_actions FinishSuperseded(std::optional<accepted_change> winner);
  acceptance_actions FinishUnknown(const std::string& reason);
  acceptance_actions Finish(acceptance_done done);

  configuration document_;
  std::string nonce_;
  acceptance_options options_;
  std::unique_ptr<retry_backoff> backoff_;
  instant retry_deadline_;
  step step_ = step::kReadHead;
  std::string base_resource_version_;  // empty if there was no head
  config_head base_;
  config_image_ptr image_;
  // Section indexes by digest.
  std::map<std::string, std::size_t> sections_to_create_;
  std::map<std::string, std::size_t> sections_in_flight_;
  std::optional<error> section_failure_;  // of a section created concurrently
  bool paused_ = false;
  bool conflicted_ = false;     // an update of the head was rejected
  bool maybe_written_ = false;  // an update of the head may have taken effect
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_ACCEPTANCE_WRITER_H_
