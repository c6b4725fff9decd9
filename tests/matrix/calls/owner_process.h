#ifndef POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backend_process.h"
#include "policy/admission.h"
#include "policy/owner_call.h"
#include "quarantine/flight_list.h"
#include "quarantine/quarantine.h"
#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Simulated owner daemon with the production admission, quarantine and
/// owner_call.
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
    bool alone = false;
    instant started_at{};
    owner_call state = {};
  };

  void Submit(ticket id);
  void Run(const std::vector<admission_decision>& decisions);
  void StartCall(ticket id);
  bool MayStart(ticket id);
  void SendToBackend(ticket id, owned_call& owned);
  void Refuse(ticket id, error reason);
  void OnHead(ticket id, const std::string& echoed);
  void OnEnd(ticket id);
  void OnTruncated(ticket id);
  void Abandon(ticket id);
  void FinishCancel(ticket id);
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
  std::unique_ptr<admission> admission_;
  std::unique_ptr<quarantine> quarantine_;
  flight_list flights_;
  std::map<ticket, owned_call> calls_;
  ticket last_ticket_ = 0;
  bool ticking_ = false;
  bool stopping_ = false;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_OWNER_PROCESS_H_
