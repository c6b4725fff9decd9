#ifndef POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_
#define POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "answer_memory.h"
#include "answer_sender.h"
#include "backend/connection_pool.h"
#include "base/random.h"
#include "caller/call_server.h"
#include "local_dispatcher.h"
#include "mesh/deadline_history.h"
#include "mesh/offer_planner.h"
#include "mesh/retry_budget.h"
#include "mesh/route_table.h"
#include "mesh/server_directory.h"
#include "mesh_endpoint.h"
#include "peer_config_sync.h"
#include "quarantine/crash_history.h"
#include "sidecar/header_field_names.h"
#include "sidecar_metrics.h"

namespace pomelohall {

class quota_exchange;
class rollout_coordinator;
class routed_request;

struct request_router_options {
  header_field_names fields;
  std::string member;          // Name of this daemon.
  std::string caller_service;  // Service of this VM, from the settings.
  std::string data_centre;     // Data centre of this VM.
  // Part of the caller's deadline that is reserved for the transport of the
  // answer.
  duration answer_margin = std::chrono::milliseconds(20);
  // Deadline of a request that does not specify one.
  duration default_deadline = std::chrono::seconds(30);
  // Time after a route's time-out in which an answer that is already on its way
  // is still awaited. At the deadline a backend server ends its work and
  // answers, and the daemon beside it waits up to 150 ms for that.
  duration late_answer_time = std::chrono::milliseconds(200);
  // Maximum number of offers per request. An offer asks one daemon to run the
  // request.
  std::size_t max_offers = 4;
  // Maximum wait of a short-wait offer as a fraction of the latency target.
  double short_wait_target_share = 0.05;
};

// Times by which the requests of a stopping daemon end.
struct stop_limits {
  // From then on a running request may be broken off.
  instant break_off_at;
  // Latest deadline that requests are passed on with. Their responses still
  // arrive before `respond_at`.
  instant deadline;
  // When requests without a response get one from the daemon itself; shortly
  // before their connections close.
  instant respond_at;
};

// Routes requests of the callers on this VM to backend servers.
class request_router final : public call_handler {
 public:
  // All references must outlive the router and its requests.
  request_router(boost::asio::io_context& io, request_router_options options,
                 local_dispatcher& dispatcher, answer_sender& sender,
                 server_directory& directory, retry_budget& budget,
                 connection_pool& peers, config_version_gossip& versions,
                 crash_history& crashes, sidecar_metrics& metrics,
                 std::uint64_t seed);

  void SetTable(std::shared_ptr<route_table> table);
  const std::shared_ptr<route_table>& Table() const { return table_; }
  // Sets the coordinator of roll-outs, which must outlive the router.
  void SetRollouts(rollout_coordinator* rollouts) { rollouts_ = rollouts; }
  // Sets the exchange of quotas, which must outlive the router.
  void SetQuotas(quota_exchange* quotas) { quotas_ = quotas; }
  void SetCallerService(std::string service) {
    options_.caller_service = std::move(service);
  }

  void OnRequest(std::shared_ptr<incoming_request> request) override;

  // Limits the time of all requests, those in progress included, and tells the
  // daemons that have some of them.
  void LimitToStop(const stop_limits& limits);
  // Refuses requests from now on that have not been passed on yet.
  void StopAccepting() { accepting_ = false; }

  // Breaks off running requests whose response large ones of their connection
  // wait for.
  void EndDelayingRequests();
  // Ends the requests whose response has not been started.
  void EndUnansweredRequests();

  // Logs what each request in progress waits for.
  void LogUnanswered() const;

 private:
  friend class routed_request;

  // Requests with the same chance of being refused.
  struct offer_kind {
    std::string service;
    int priority = 0;
    bool is_late = false;  // The target has been missed.

    bool operator<(const offer_kind& other) const {
      return std::tie(service, priority, is_late) <
             std::tie(other.service, other.priority, other.is_late);
    }
  };

  // Tells another daemon when the requests of this one end.
  void SendStopNotice(const std::string& address);
  // Returns the requests in progress; ending one changes the set of them.
  std::vector<std::shared_ptr<routed_request>> InProgress() const;

  boost::asio::io_context& io_;
  request_router_options options_;
  local_dispatcher& dispatcher_;
  answer_sender& sender_;
  server_directory& directory_;
  retry_budget& budget_;
  connection_pool& peers_;
  config_version_gossip& versions_;
  crash_history& crashes_;
  sidecar_metrics& metrics_;
  random_source random_;
  rollout_coordinator* rollouts_ = nullptr;  // Null without roll-outs.
  quota_exchange* quotas_ = nullptr;         // Null without quotas.
  std::shared_ptr<route_table> table_;
  std::map<std::string, deadline_history> deadline_histories_;  // By route.
  std::map<offer_kind, offer_planner> offer_planners_;
  std::set<std::weak_ptr<routed_request>, std::owner_less<>> in_progress_;
  std::optional<stop_limits> stop_;
  answer_memory stop_memory_;
  bool accepting_ = true;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_
