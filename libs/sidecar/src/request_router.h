#ifndef POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_
#define POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "answer_sender.h"
#include "backend/connection_pool.h"
#include "base/random.h"
#include "caller/call_server.h"
#include "config_exchange.h"
#include "mesh/deadline_history.h"
#include "mesh/retry_budget.h"
#include "mesh/route_table.h"
#include "mesh/server_directory.h"
#include "mesh_endpoint.h"
#include "server_gate.h"
#include "sidecar/exchange_fields.h"
#include "sidecar_metrics.h"

namespace pomelohall {

struct request_router_options {
  exchange_fields fields;
  std::string member;          // Name of this daemon.
  std::string caller_service;  // Service of this VM, before it announces one.
  // Time left of the caller's deadline for the way of the answer.
  duration answer_margin = std::chrono::milliseconds(20);
  // Deadline of a request that names none.
  duration default_deadline = std::chrono::seconds(30);
  // Daemons that one request is offered to; each refusal costs about a
  // millisecond.
  std::size_t max_offers = 4;
  // The first offers of a request go to backend servers on which it need not
  // wait: reports of load are old in a large service, and asking costs about a
  // millisecond.
  std::size_t impatient_offers = 2;
  // Wait that such an offer accepts, as a share of the latency target.
  double impatient_wait = 0.05;
};

// Takes requests of the callers on this VM and sends each to a backend server.
class request_router final : public call_handler {
 public:
  // All references must outlive the router and its requests.
  request_router(boost::asio::io_context& io, request_router_options options,
                 server_gate& gate, answer_sender& sender,
                 server_directory& directory, retry_budget& budget,
                 connection_pool& peers, version_exchange& versions,
                 sidecar_metrics& metrics, std::uint64_t seed);

  void SetTable(std::shared_ptr<route_table> table);
  const std::shared_ptr<route_table>& Table() const { return table_; }
  void SetCallerService(std::string service) {
    options_.caller_service = std::move(service);
  }

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  friend class routed_request;

  boost::asio::io_context& io_;
  request_router_options options_;
  server_gate& gate_;
  answer_sender& sender_;
  server_directory& directory_;
  retry_budget& budget_;
  connection_pool& peers_;
  version_exchange& versions_;
  sidecar_metrics& metrics_;
  random_source random_;
  std::shared_ptr<route_table> table_;
  std::map<std::string, deadline_history> deadlines_;  // By route.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_REQUEST_ROUTER_H_
