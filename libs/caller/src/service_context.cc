#include "service_context.h"

#include <utility>

#include "owner_task.h"

namespace pomelohall {
namespace {

// Daemons send one call at a time on a connection, so this limits the calls in
// progress to one owner.
constexpr std::size_t kMaxConnectionsPerOwner = 256;

selector_options SelectorOptions(const call_service_options& options) {
  auto selector = options.selector;
  selector.local_data_centre = options.data_centre;
  selector.local_region = options.region;
  return selector;
}

pool_options PeerPoolOptions(const call_service_options& options) {
  pool_options pool;
  pool.max_connections = kMaxConnectionsPerOwner;
  pool.progress_timeout = options.progress_timeout;
  // Shorter than the idle timeout of the other daemon, so that this side closes
  // first.
  pool.idle_timeout = options.idle_timeout / 2;
  pool.max_head_bytes = kMaxResponseHeadBytes + kMeshHeadAllowance;
  pool.connect_error = error_kind::kPeerUnreachable;
  pool.disconnect_error = error_kind::kPeerUnreachable;
  return pool;
}

pool_options BackendPoolOptions(const call_service_options& options) {
  pool_options pool;
  pool.max_connections = options.max_backend_connections;
  pool.progress_timeout = options.progress_timeout;
  pool.peer_echoes_always = true;
  pool.is_refusal = IsNotRunResponse;
  return pool;
}

}  // namespace

service_context::service_context(boost::asio::io_context& io_context,
                                 call_service_options settings)
    : io(io_context),
      options(std::move(settings)),
      selector(SelectorOptions(options), options.seed),
      retries(options.retries),
      ledger(options.member, options.incarnation, options.seed + 1),
      quarantine(options.quarantine),
      peers(io, PeerPoolOptions(options)),
      backend(io, BackendPoolOptions(options)) {}

void service_context::SetSnapshot(snapshot_ptr next) {
  classes.clear();
  for (const auto& entry : next->classes) {
    classes.emplace(entry.definition.name, &entry);
  }
  selector.Update(next, MonotonicNow());
  snapshot = std::move(next);
}

const class_entry* service_context::FindClassByName(
    std::string_view name) const {
  const auto found = classes.find(name);
  return found == classes.end() ? nullptr : found->second;
}

std::string service_context::NewCallId() {
  return options.member + "." + std::to_string(options.incarnation) + "." +
         std::to_string(++next_call);
}

void service_context::NotifySuspects(
    const std::vector<suspect_event>& events) const {
  if (!options.on_suspect) return;
  for (const auto& event : events) options.on_suspect(event);
}

}  // namespace pomelohall
