#ifndef POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_
#define POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "acceptance/acceptance_machine.h"

namespace pomelohall {

class retry_backoff;

/// Finds out whether a change whose outcome was unknown took effect
/// (`apply --resume`). Pure, like acceptance_writer; it writes nothing.
class change_resolver : public acceptance_machine {
 public:
  /// @param seed For the jitter of the pauses.
  change_resolver(const std::string& change_id, acceptance_options options,
                  std::uint64_t seed);
  ~change_resolver() override;
  change_resolver(const change_resolver&) = delete;
  change_resolver& operator=(const change_resolver&) = delete;

  acceptance_actions Start(instant now) override;
  acceptance_actions OnHead(const result<stored_object>& answer,
                            instant now) override;
  acceptance_actions OnTick(instant now) override;
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

  accepted_change change_;  // version 0: the id is malformed
  acceptance_options options_;
  std::unique_ptr<retry_backoff> backoff_;
  instant give_up_at_;
  bool done_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_
