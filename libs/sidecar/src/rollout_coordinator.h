#ifndef POMELOHALL_SIDECAR_SRC_ROLLOUT_COORDINATOR_H_
#define POMELOHALL_SIDECAR_SRC_ROLLOUT_COORDINATOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "backend/connection_pool.h"
#include "base/callback_scope.h"
#include "base/random.h"
#include "caller/incoming_request.h"
#include "collection_watch.h"
#include "mesh/mesh_member.h"
#include "mesh/server_directory.h"
#include "rollout/drain_round.h"
#include "rollout/response_counter.h"
#include "rollout/rollout_registry.h"
#include "rollout/version_comparison.h"
#include "sidecar/header_field_names.h"
#include "sidecar/rollout_format.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

class sidecar_metrics;

struct rollout_coordinator_options {
  rollout_settings bounds;
  std::string member;            // Name of this daemon.
  std::string attempt_id_field;  // Header field that answers echo.
  std::function<bool()> is_designated_reader;
  // Called when the backend server beside this daemon may have to be offered or
  // may run requests no longer.
  std::function<void()> on_own_server_changed;
};

// Runs the roll-outs of a fleet without a leader: every daemon knows the state
// of each roll-out from the store, from records of members, or from any message
// of another daemon, sends its requests accordingly, judges the versions by the
// reports that it gets with answers, and tells all others what it decides.
//
// An outcome counts once the store has it. The daemon that found a version bad
// writes that; the member with the fastest link switches the traffic and writes
// that the roll-out is complete. Others take over if the outcome stays out.
class rollout_coordinator final : public collection_observer {
 public:
  // All references must outlive the coordinator.
  rollout_coordinator(boost::asio::io_context& io, watched_store& store,
                      const rollout_format& format, connection_pool& peers,
                      server_directory& directory, sidecar_metrics& metrics,
                      rollout_coordinator_options options, std::uint64_t seed);
  ~rollout_coordinator() override;

  // To be called about every 50 ms.
  void Tick(instant now);
  void Stop();

  // Traffic of this daemon's callers.
  version_choice Choose(const std::string& service);
  version_choice ChooseAgain(const std::string& service) const;
  void OnNotSent(const std::string& service) { registry_.OnNotSent(service); }
  // Number that selects the server for a canary request.
  std::uint64_t CanaryTurn(const std::string& service) const;
  // Counts a request between its offer to a server and its end.
  void OnOffered(const std::string& service, const std::string& version);
  void OnEnded(const std::string& service, const std::string& version);
  // Counts a request that a backend server got.
  void OnReached(const std::string& service, const std::string& version);

  // Messages between daemons.
  void AddState(http_fields& fields) const;
  // Adds the report of the backend server beside this daemon.
  void AddReport(http_fields& fields) const;
  void OnPeerState(const http_fields& fields);
  void OnPeerReport(const http_fields& fields, const std::string& service);
  void OnNotice(incoming_request& request);

  // The backend server beside this daemon.
  void OnOwnServer(const std::optional<offered_server>& server);
  // Whether it may be offered: the order of its service, if any, is known.
  bool IsCleared(const offered_server& server) const;
  bool MayRun(const offered_server& server) const;
  void OnOwnResponse(const std::string& route, bool failed,
                     std::optional<duration> run_time);
  // Roll-out to state in the record of this daemon.
  std::optional<rollout_record> OrderOf(const offered_server& server) const;
  void OnMemberRecord(const rollout_record& record) { Merge(record); }

  // collection_observer
  void OnListed(const object_listing& listing) override;
  void OnRestored(const object_listing& listing) override;
  void OnChanged(const object_change& change) override;

 private:
  // Work on one roll-out that is in progress here.
  struct task {
    std::optional<drain_round> round;  // Set on the daemon that switches.
    std::map<std::string, std::shared_ptr<exchange>> questions;  // By member.
    std::map<std::string, instant> asked_at;
    bool decided_here = false;
    bool calling_store = false;
    std::size_t store_failures = 0;
    instant next_store_call;
    instant take_over_at;  // When others finish what a lost daemon began.
    // When this daemon switches the traffic unless another one has.
    std::optional<instant> switch_at;
    instant next_judgement;
  };

  void Merge(const rollout_record& record);
  void ApplyObject(const watched_object& object);
  void OnStateChanged(const std::string& service);
  void Advance(const std::string& service, rollout_state state);
  void Judge(const std::string& service, instant now);
  std::size_t TargetServersInUse(const rollout_record& record) const;
  bool IsLeader(instant now) const;
  void CheckSwitch(const rollout_record& record, instant now);
  void Broadcast(const std::string& service);
  // Sends the state to a member and calls `done` with the number of requests
  // that it has at servers of other versions, or nothing.
  std::shared_ptr<exchange> Notify(
      const mesh_member& member, const std::string& service,
      std::function<void(std::optional<std::size_t>)> done);
  void ContinueDrain(const rollout_record& record, task& work, instant now);
  std::size_t RequestsAtOthers(const rollout_record& record) const;
  // Writes the outcome, or that the roll-out runs, unless the store has it.
  void StoreState(const std::string& service, rollout_state state);
  void OnStatusRead(const std::string& service, rollout_state state,
                    const result<watched_object>& object);
  void OnStoreFailed(const std::string& service, const error& failure);
  void CheckOutcome(const rollout_record& record, task& work, instant now);
  void ClearOwnServer();
  void ReadOwnOrder();
  void UpdateWatch();

  boost::asio::io_context& io_;
  watched_store& store_;
  const rollout_format& format_;
  connection_pool& peers_;
  server_directory& directory_;
  sidecar_metrics& metrics_;
  const rollout_coordinator_options options_;
  random_source random_;
  rollout_registry registry_;
  std::map<std::string, version_comparison> comparisons_;  // By service.
  std::map<std::string, task> tasks_;                      // By service.
  // Requests at servers, by service and version.
  std::map<std::string, std::map<std::string, std::size_t>> outstanding_;
  std::optional<offered_server> own_server_;
  bool own_server_cleared_ = false;
  bool reading_own_order_ = false;
  instant own_server_since_;
  instant next_own_read_;
  response_counter counter_;
  std::unique_ptr<collection_watch> watch_;
  std::uint64_t notices_ = 0;
  bool stopped_ = false;
  callback_scope callbacks_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ROLLOUT_COORDINATOR_H_
