#ifndef POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backend_process.h"
#include "policy/admission_controller.h"
#include "policy/outcome_tracker.h"
#include "quarantine/in_flight_tracker.h"
#include "quarantine/quarantine.h"
#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Simulated owner daemon with the production admission_controller, quarantine
/// and outcome_tracker.
class owner_process {
 public:
  owner_process(run_context& context, process_id self, process_id backend_id,
                backend_process& backend);

  void OnForward(const forwarded_call& call);
  void OnCancel(const forwarded_call& call);
  void OnPeerDied(process_id dead);
  void OnRestart();
  void OnBackendReady();
  void Apply(const suspect_event& event);

  /// Starts a graceful shutdown. The process exits when its calls have ended.
  void Stop();
  bool Draining() const {
    return stopping_ && !context_.Defect("ignore_drain");
  }

 private:
  struct owned_call {
    forwarded_call call;
    std::uint64_t entry_epoch = 0;
    bool exclusive = false;
    instant started_at{};
    outcome_tracker state = {};
  };

  void Submit(request_id id);
  void Run(const std::vector<admission_decision>& decisions);
  void StartCall(request_id id);
  bool MayStart(request_id id);
  void SendToBackend(request_id id, owned_call& owned);
  void Refuse(request_id id, error reason);
  void OnHead(request_id id, const std::string& echoed);
  void OnEnd(request_id id);
  void OnTruncated(request_id id);
  void Abandon(request_id id);
  void FinishCancel(request_id id);
  void OnBackendDied();
  void OnEntryDied(process_id entry);
  void Broadcast(const std::vector<suspect_event>& events);
  void ScheduleTick();
  void TryExit(instant not_before);
  std::uint64_t FingerprintOf(const owned_call& owned) const;

  run_context& context_;
  process_id self_;
  process_id backend_id_;
  backend_process& backend_;
  std::unique_ptr<admission_controller> admission_;
  std::unique_ptr<quarantine> quarantine_;
  in_flight_tracker in_flight_;
  std::map<request_id, owned_call> calls_;
  request_id last_request_id_ = 0;
  bool ticking_ = false;
  bool stopping_ = false;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_
