#include "daemon_status.h"

#include <nlohmann/json.hpp>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<backend_state, 5> kBackendStateNames{{{
    {backend_state::kNone, "none"},
    {backend_state::kStarting, "starting"},
    {backend_state::kReady, "ready"},
    {backend_state::kDraining, "draining"},
    {backend_state::kGone, "gone"},
}}};

}  // namespace

std::string FormatDaemonStatus(const daemon_status& status) {
  const auto& control = status.control;
  const auto& calls = status.calls;
  const auto& transport = status.transport;
  return nlohmann::json{
      {"member", status.member},
      {"data_centre", status.data_centre},
      {"incarnation", status.incarnation},
      {"version_in_force", status.version_in_force},
      {"in_force_since_unix_ms", status.in_force_since_unix_ms},
      {"staged_version", control.staged_version},
      {"recovered", control.recovered},
      {"reader", control.reader},
      {"members_alive", control.members_alive},
      {"members_by_data_centre", control.members_by_data_centre},
      {"unreachable_data_centres", control.unreachable_data_centres},
      {"backend_servers", status.backend_servers},
      {"backend_state", kBackendStateNames.Name(status.backend)},
      {"draining", calls.draining},
      {"entry_calls", calls.entry_calls},
      {"owner_running", calls.owner_running},
      {"owner_queued", calls.owner_queued},
      {"caller_connections", calls.caller_connections},
      {"control_bytes_sent", transport.bytes_sent},
      {"control_bytes_received", transport.bytes_received},
      {"control_frames_sent", transport.frames_sent},
      {"control_frames_dropped", transport.frames_dropped}}
      .dump();
}

}  // namespace pomelohall
