#ifndef POMELOHALL_OPERATORS_ENVIRONMENT_H_
#define POMELOHALL_OPERATORS_ENVIRONMENT_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "platform/object_store.h"

namespace pomelohall {

/// External dependencies of the commands: platform, clock, randomness and
/// progress output. Commands are single-threaded and block in RunOnce() and
/// Sleep().
class environment {
 public:
  virtual ~environment() = default;

  virtual object_store& Store() = 0;
  virtual instant Now() = 0;
  /// Blocks until the next store response and runs its callback.
  virtual void RunOnce() = 0;
  virtual void Sleep(duration span) = 0;
  /// Returns 64 random bits, different in every process.
  virtual std::uint64_t RandomBits() = 0;
  /// Prints a progress line while a command runs.
  virtual void Notice(const std::string& line) = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_ENVIRONMENT_H_
