#ifndef POMELOHALL_SIDECAR_SRC_SERVER_GATE_H_
#define POMELOHALL_SIDECAR_SRC_SERVER_GATE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "backend/connection_pool.h"
#include "backend/exchange.h"
#include "mesh/local_server.h"
#include "mesh/mesh_config.h"
#include "mesh/transmit_queue.h"
#include "mesh/work_queue.h"
#include "sidecar/exchange_fields.h"

namespace pomelohall {

class gate_task;

// A request for the backend server beside this daemon.
struct gate_request {
  outgoing_request request;
  std::string attempt_id;  // For log lines.
  std::string instance;    // Backend server that the sender chose.
  std::string work_class;
  request_kind kind = request_kind::kUnsafe;
  int priority = 0;
  instant target_at;
  instant give_up_at;
  duration max_wait = duration::max();
  bool over_link = false;  // The answer leaves this VM.
};

struct server_gate_options {
  exchange_fields fields;
  std::string server_address;  // "ip:port".
  std::size_t max_connections = 100;
  // Waiting requests still start for this time after the backend server began
  // to leave; later ones could reach it after it stopped.
  duration leaving_grace = std::chrono::seconds(1);
  // Without an announcement for this time the backend server counts as gone.
  duration announcement_timeout = std::chrono::seconds(9);
  // A connection to a backend server that was silent for this time is closed.
  duration dead_peer_timeout = std::chrono::milliseconds(1500);
};

// The way to the backend server of this VM, for requests of this daemon and of
// others. It alone sends to the backend server, so it knows what has been sent:
// a request that it refuses did not run.
class server_gate {
 public:
  // `io` and `link` must outlive the gate.
  server_gate(boost::asio::io_context& io, server_gate_options options,
              transmit_queue& link);
  ~server_gate();
  server_gate(const server_gate&) = delete;
  server_gate& operator=(const server_gate&) = delete;

  // Starts a request. Errors with run_state::kNotRun: `kOverloaded`,
  // `kDraining` and `kNoBackendServer` if the gate refused, `kBackendFailed` if
  // the backend server itself said that it did not run it. Others: unknown.
  std::shared_ptr<exchange> Start(gate_request request, exchange_events events);

  // Decisions about the backend server; true if the announcement counts.
  bool OnAnnounced(const server_announcement& announcement, instant now);
  bool OnWithdrawn(const std::string& instance, instant now);
  void SetServerAddress(const std::string& address);

  // Refuses new requests from now on; running ones end.
  void StopAccepting();
  // To be called about each 50 ms: ends what waits or runs for too long.
  void Tick(instant now);
  // Closes idle connections whose time has passed. About once a second.
  void Sweep(instant now);

  // Called when Offer() may have changed.
  void SetOfferObserver(std::function<void()> observer) {
    on_offer_changed_ = std::move(observer);
  }
  std::optional<offered_server> Offer() const;
  work_load Load() const;
  bool Idle() const { return tasks_.empty(); }
  const local_server& Server() const { return server_; }

 private:
  friend class gate_task;

  std::optional<error> Refusal(const gate_request& request) const;
  void Finish(std::uint64_t id, std::optional<duration> took);
  void Forget(std::uint64_t id);
  void RunWaiting();
  void Refuse(const std::vector<std::uint64_t>& ids, error_kind kind,
              const std::string& why);
  void OnUnreachable(const std::string& instance);
  void PhaseChanged(server_phase before);

  boost::asio::io_context& io_;
  const server_gate_options options_;
  transmit_queue& link_;
  std::string server_address_;
  connection_pool pool_;
  local_server server_;
  work_queue queue_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<gate_task>> tasks_;
  std::function<void()> on_offer_changed_;
  bool accepting_ = true;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_SERVER_GATE_H_
