#ifndef POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_
#define POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "acceptance/acceptance_state_machine.h"

namespace pomelohall {

class retry_backoff;

/// Determines whether a change whose outcome was unknown took effect
/// (`apply --resume`). A state machine without I/O, like acceptance_writer,
/// that only reads from the platform.
class change_resolver : public acceptance_state_machine {
 public:
  /// @param seed Seed of the jitter of the pauses.
  change_resolver(const std::string& change_id, acceptance_options options,
                  std::uint64_t seed);
  ~change_resolver() override;
  change_resolver(const change_resolver&) = delete;
  change_resolver& operator=(const change_resolver&) = delete;

  acceptance_actions Start(instant now) override;
  acceptance_actions OnHead(const result<stored_object>& answer,
                            instant now) override;
  acceptance_actions OnPauseEnded(instant now) override;
  /// The resolver writes nothing, so these return no actions.
  acceptance_actions OnSection(const std::string&, const result<stored_object>&,
                               instant) override {
    return {};
  }
  acceptance_actions OnHeadWritten(const result<stored_object>&,
                                   instant) override {
    return {};
  }

 private:
  acceptance_actions Decide(const config_head& head);
  acceptance_actions Finish(acceptance_done done);

  accepted_change change_;  // with version 0 if the id is malformed
  acceptance_options options_;
  std::unique_ptr<retry_backoff> backoff_;
  instant retry_deadline_;
  bool done_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_
