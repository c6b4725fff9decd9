#ifndef POMELOHALL_DAEMON_DAEMON_STATUS_H_
#define POMELOHALL_DAEMON_DAEMON_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "caller/call_service.h"
#include "daemon/control_core.h"
#include "membership/member_record.h"
#include "model/image.h"
#include "peer/transport.h"

namespace pomelohall {

/// Response of `GET /status`.
struct daemon_status {
  std::string member;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  config_version version_in_force = 0;  ///< Of the data path; 0 if none.
  std::uint64_t in_force_since_unix_ms = 0;
  backend_state backend = backend_state::kNone;
  /// Backend servers that the data path routes to, by service.
  std::map<std::string, std::size_t> backend_servers;
  control_status control;
  call_service_status calls;
  transport_counters transport;
};

/// Returns the status as a JSON object.
std::string FormatDaemonStatus(const daemon_status& status);

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_DAEMON_STATUS_H_
