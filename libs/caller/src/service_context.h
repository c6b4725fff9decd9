#ifndef POMELOHALL_CALLER_SRC_SERVICE_CONTEXT_H_
#define POMELOHALL_CALLER_SRC_SERVICE_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "backend/connection_pool.h"
#include "caller/call_service.h"
#include "caller/call_service_options.h"
#include "ledger/key_ledger.h"
#include "policy/retry_policy.h"
#include "quarantine/quarantine.h"
#include "routing/server_selector.h"
#include "routing/snapshot.h"

namespace pomelohall {

class entry_call;
class owner_dispatcher;
class key_claim_client;

// When the calls of callers end while the daemon stops.
struct call_stop_limits {
  instant request_deadline;  // Latest deadline of a call.
  instant body_deadline;     // When the body of a response must have arrived.
};

// State shared by all calls of one daemon. Calls hold a reference, so that
// their last events are safe after the call_service was destroyed.
struct service_context {
  service_context(boost::asio::io_context& io, call_service_options settings);

  void SetSnapshot(snapshot_ptr next);
  // Returns the class named `name` in the current snapshot, or null.
  const class_entry* FindClassByName(std::string_view name) const;
  std::string NewCallId();
  void NotifySuspects(const std::vector<suspect_event>& events) const;

  boost::asio::io_context& io;
  const call_service_options options;
  snapshot_ptr snapshot;
  std::unordered_map<std::string_view, const class_entry*> classes;
  server_selector selector;
  retry_policy retries;
  key_ledger ledger;
  class quarantine quarantine;
  connection_pool peers;
  connection_pool backend;
  // Both are set right after construction, because they refer to the context.
  std::shared_ptr<owner_dispatcher> dispatcher;
  std::shared_ptr<key_claim_client> key_claims;
  bool draining = false;
  std::optional<call_stop_limits> stop;  // Set while the daemon stops.
  // Calls of callers in progress. They remove themselves.
  std::unordered_set<entry_call*> entry_calls;
  std::uint64_t next_call = 0;
  call_service_status counters;
};

using context_ptr = std::shared_ptr<service_context>;

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_SERVICE_CONTEXT_H_
