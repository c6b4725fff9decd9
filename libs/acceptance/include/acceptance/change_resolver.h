#ifndef POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_
#define POMELOHALL_ACCEPTANCE_CHANGE_RESOLVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "acceptance/acceptance_action.h"

namespace pomelohall {

class retry_backoff;

/// Finds out whether a change whose outcome was unknown took effect
/// (`apply --resume`). Pure, like acceptance_writer; it writes nothing.
class change_resolver {
 public:
  /// @param seed For the jitter of the pauses.
  change_resolver(std::string change_id, acceptance_options options,
                  std::uint64_t seed);
  ~change_resolver();
  change_resolver(const change_resolver&) = delete;
  change_resolver& operator=(const change_resolver&) = delete;

  acceptance_actions Start(instant now);
  acceptance_actions OnHead(const result<stored_object>& answer, instant now);
  acceptance_actions OnTick(instant now);

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
