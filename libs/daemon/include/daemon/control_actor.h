#ifndef POMELOHALL_DAEMON_CONTROL_ACTOR_H_
#define POMELOHALL_DAEMON_CONTROL_ACTOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "daemon/control_core.h"
#include "daemon/control_effects.h"

namespace pomelohall {

/// Runs a control_core in a CAF actor on a dedicated thread. All member
/// functions are thread-safe. Post() does not block. The effects are called on
/// the actor's thread.
class control_actor {
 public:
  /// @param effects Must outlive the actor.
  control_actor(const control_options& options, control_effects& effects,
                std::uint64_t seed);
  /// Stops the actor and waits until it has terminated.
  ~control_actor();
  control_actor(const control_actor&) = delete;
  control_actor& operator=(const control_actor&) = delete;

  /// Queues `task`, which runs with the core and the current time after all
  /// tasks posted earlier.
  void Post(std::function<void(control_core&, instant)> task);

  /// Stops the actor and waits until it has terminated. Tasks posted later are
  /// dropped. Idempotent.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_CONTROL_ACTOR_H_
