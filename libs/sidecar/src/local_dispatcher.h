#ifndef POMELOHALL_SIDECAR_SRC_LOCAL_DISPATCHER_H_
#define POMELOHALL_SIDECAR_SRC_LOCAL_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/connection_pool.h"
#include "backend/exchange.h"
#include "base/callback_scope.h"
#include "mesh/local_server.h"
#include "mesh/mesh_config.h"
#include "mesh/transmit_queue.h"
#include "mesh/work_queue.h"
#include "quarantine/crash_history.h"
#include "quarantine/in_flight_tracker.h"
#include "sidecar/header_field_names.h"

namespace pomelohall {

class local_exchange;

// A request to the backend server beside this daemon.
struct local_request {
  outgoing_request request;
  std::string attempt_id;  // Used in log lines only.
  // Address of the daemon that passed the request on; empty for this one.
  std::string sender;
  // Whether that daemon stops soon after the deadline, and loses later answers.
  bool sender_stops = false;
  std::string instance;           // Instance that the sender chose.
  std::uint64_t fingerprint = 0;  // See FingerprintOf().
  bool on_trial = false;          // Whether the sender offers it on trial.
  std::string work_class;
  request_kind kind = request_kind::kUnsafe;
  int priority = 0;
  instant target_at;
  instant deadline;
  duration max_wait = duration::max();
};

struct local_dispatcher_options {
  header_field_names fields;
  std::string server_address;  // "ip:port".
  std::string server_service;
  std::size_t max_connections = 100;
  // Longest wait of an accepted request for a slot of the backend server.
  duration max_wait = duration::max();
  // Longest time between two calls of Tick().
  duration tick_interval = std::chrono::milliseconds(50);
  // Waiting requests still start for this time after the backend server began
  // to leave; later ones could reach it after it stopped.
  duration leaving_grace = std::chrono::seconds(1);
  // The backend server is considered unreachable after this time without an
  // announcement.
  duration announcement_timeout = std::chrono::seconds(9);
  // Announcements and withdrawals that are late arrive within this time.
  duration max_lateness = std::chrono::seconds(9);
  // A connection is closed if the backend server sends nothing for this time.
  duration dead_peer_timeout = std::chrono::milliseconds(1500);
};

// Returns whether a backend server reports that it did not run the request.
bool IsRefusal(const response_head& head, const header_field_names& fields);

// Returns the refusal of a request that crashes backend servers, or may do so:
// its verdict is crash_verdict::kRefuse.
error CulpritError();

// Admission control and dispatch for the backend server beside this daemon, for
// requests of this daemon and of others. Nothing else sends requests to that
// backend server, so a request that the dispatcher refuses has certainly not
// run.
class local_dispatcher {
 public:
  // `io`, `link` and `crashes` must outlive the dispatcher.
  local_dispatcher(boost::asio::io_context& io,
                   local_dispatcher_options options, transmit_queue& link,
                   crash_history& crashes);
  ~local_dispatcher();
  local_dispatcher(const local_dispatcher&) = delete;
  local_dispatcher& operator=(const local_dispatcher&) = delete;

  // Admits, queues or refuses a request. Errors with run_state::kNotRun:
  // `kOverloaded`, `kDraining`, `kNoBackendServer` and `kPoisonSuspected` if
  // the dispatcher refused it, `kBackendFailed` if the backend server reported
  // that it did not run it. After any other error the request may have run.
  std::shared_ptr<exchange> Start(local_request request,
                                  exchange_events events);

  // Handles an announcement of the backend server.
  announcement_outcome OnAnnounced(const server_announcement& announcement,
                                   instant now);
  // Handles a withdrawal of the backend server. Returns false if it is of
  // another instance.
  bool OnWithdrawn(const std::string& instance, instant now);
  // Adds departures that an earlier process of this daemon acknowledged.
  void AddDepartures(const std::vector<departed_server>& departed);
  // Handles that no further ones exist. The backend server is not offered
  // before.
  void OnDeparturesKnown();
  // Changes address and service of the backend server.
  void SetServer(const std::string& address, const std::string& service);

  // Limits the deadlines of all requests, those in progress included: the
  // daemon stops soon after `latest`. A waiting request that cannot end by then
  // is refused, and one whose answer cannot be written by `last_write`.
  void LimitDeadlines(instant latest, instant last_write);
  // Limits the deadlines of the requests in progress of another daemon, which
  // stops soon after `latest`.
  void LimitDeadlinesOf(const std::string& sender, instant latest);
  // Refuses new requests from now on; running ones end.
  void StopAccepting();
  // To be called each `tick_interval`: ends requests that waited too long or
  // ran past their deadline.
  void Tick(instant now);
  // To be called about once a second: closes idle connections and checks for
  // missing announcements.
  void Sweep(instant now);

  // Called when OfferedServer(), the serving server or the departures of
  // Server(), or its crashes may have changed.
  void SetServerObserver(std::function<void()> observer) {
    on_server_changed_ = std::move(observer);
  }
  // Sets a function that returns whether requests may run on the backend
  // server now; requests are refused otherwise.
  void SetPermission(std::function<bool(const offered_server&)> may_run) {
    may_run_ = std::move(may_run);
  }
  // Sets a function that gets the route, the failure and the run time of each
  // response of the backend server; no run time if it is not complete.
  using response_observer =
      std::function<void(const std::string&, bool, std::optional<duration>)>;
  void SetResponseObserver(response_observer observer) {
    on_response_ = std::move(observer);
  }
  // Refuses the requests that wait for a slot.
  void RefuseWaiting(const std::string& reason);

  std::optional<offered_server> OfferedServer() const;
  work_load Load() const;
  bool IsIdle() const { return exchanges_.empty(); }
  const local_server& Server() const { return server_; }

 private:
  friend class local_exchange;

  struct trial_run {
    std::uint64_t id = 0;
    std::uint64_t fingerprint = 0;
  };

  std::optional<error> CheckAdmission(const local_request& request) const;
  // Sends a new request, queues it or refuses it.
  void Admit(std::uint64_t id, const std::shared_ptr<local_exchange>& local);
  // Returns the refusal of a request if its sender or this daemon stops and the
  // link cannot carry the answer before.
  std::optional<error> CheckLink(const local_request& request, std::uint64_t id,
                                 instant now) const;
  // Returns the refusal of a request by its crashes, if it is refused.
  std::optional<error> CheckCrashes(const local_request& request) const;
  crash_verdict VerdictOf(std::uint64_t fingerprint) const;
  // Admits the requests that waited for the end of a trial.
  void AdmitAfterTrial();
  // Returns whether a request that waits for the end of a trial cannot end in
  // time any more.
  bool IsTooLateForTrial(const local_request& request, instant now) const;
  // Refuses all requests that have not been sent.
  void RefuseUnsent(error_kind kind, const std::string& reason);
  // Runs `change` on the state of the backend server, and calls the observer if
  // it had an effect.
  template <typename Change>
  void ChangeServer(Change change);
  // Whether a request that starts now would end after the daemon has stopped.
  bool EndsAfterStop(const local_request& request, instant now) const;
  void OnFinished(std::uint64_t id, std::optional<duration> run_time);
  void Remove(std::uint64_t id);
  // Refuses waiting requests that can't start in time any more, and sends those
  // that a slot is free for.
  void SendWaiting(instant now);
  void Refuse(const std::vector<std::uint64_t>& ids, error_kind kind,
              const std::string& reason);
  void OnUnreachable(const std::string& instance);
  // Handles a request whose connection was lost while it ran. Checks whether
  // the backend server has crashed, and then calls `done`, which may be empty.
  void OnConnectionLost(std::uint64_t fingerprint, std::function<void()> done);
  void Probe();
  void OnProbed(probe_result result);
  // Checks whether the process of a withdrawn backend server has ended.
  void CheckWithdrawnServer(instant now);
  void RecordCrash();
  // Returns whether the request has been sent to the backend server.
  bool HasStarted(const trial_run& run) const;
  // Returns the request on trial if it may have caused a crash.
  std::optional<std::uint64_t> TrialAmong(
      const std::set<std::uint64_t>& requests) const;

  boost::asio::io_context& io_;
  const local_dispatcher_options options_;
  transmit_queue& link_;
  std::string server_address_;
  connection_pool pool_;
  local_server server_;
  work_queue queue_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<local_exchange>> exchanges_;
  std::optional<double> work_percent_;  // Last one that the server reported.
  std::function<void()> on_server_changed_;
  std::function<bool(const offered_server&)> may_run_;
  response_observer on_response_;
  crash_history& crashes_;
  in_flight_tracker in_flight_;
  // The request that waits or runs here on trial, and the last one that has run
  // so: a crash is noticed when its exchange has ended.
  std::optional<trial_run> trial_;
  // Requests to run on trial that wait for its end.
  std::vector<std::uint64_t> awaiting_trial_;
  std::optional<trial_run> last_trial_;
  // A possible crash that is being checked.
  std::vector<std::uint64_t> lost_requests_;
  std::vector<std::function<void()>> awaiting_probe_;
  instant probing_since_;
  callback_scope probes_;
  callback_scope trials_;
  // Set while the daemon stops, see LimitDeadlines().
  std::optional<instant> latest_deadline_;
  std::optional<instant> last_write_;
  bool accepting_ = true;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_LOCAL_DISPATCHER_H_
