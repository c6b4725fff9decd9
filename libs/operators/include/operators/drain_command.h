#ifndef POMELOHALL_OPERATORS_DRAIN_COMMAND_H_
#define POMELOHALL_OPERATORS_DRAIN_COMMAND_H_

#include <string>

#include "base/time.h"
#include "operators/command_output.h"

namespace pomelohall {

struct drain_options {
  std::string daemon{};  ///< "ip:port" of the daemon's `local` listener.
  duration timeout = std::chrono::seconds(5);
  output_format format = output_format::kTable;
};

/// Asks a daemon to send no new work to the backend server of its VM.
/// Idempotent. Errors: `kPeerUnreachable`, `kDeadlineExceeded` and the error
/// returned by the daemon.
command_output RunDrain(const drain_options& options);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_DRAIN_COMMAND_H_
