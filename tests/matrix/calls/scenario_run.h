#ifndef POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_RUN_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_RUN_H_

#include <memory>
#include <string_view>
#include <vector>

#include "caller_process.h"
#include "entry_process.h"
#include "key_process.h"
#include "owner_process.h"
#include "run_context.h"
#include "scenario.h"

namespace pomelohall::matrix::calls {

/// Runs a scenario: creates the processes, injects the faults when the observed
/// request reaches the scenario's step, and checks the guarantees.
class scenario_run {
 public:
  explicit scenario_run(const scenario& options);

  std::vector<violation> Run();

 private:
  /// Returns the maximum time until every daemon knows of a crash under the
  /// faults of the scenario.
  duration SuspectPropagationTime() const;
  void AddProcesses();
  void Connect();
  void ConnectAnswers();
  void OnPeerDied(process_id observer, process_id dead, std::uint64_t epoch);
  void OnRestarted(process_id id);
  void SendAnswer(const forwarded_call& call, std::function<void()> deliver);
  void BroadcastSuspect(const suspect_event& event, process_id from);
  void Publish(duration delay);
  snapshot_ptr SnapshotFor(process_id entry) const;
  member_record RecordOf(std::size_t owner) const;

  void AddRequests();
  void AddBackgroundRequest(duration delay);
  void OnStepReached(std::string_view step, const caller_attempt& origin,
                     process_id entry, std::optional<process_id> owner);
  void InjectFaultsAndStop();
  void Inject(fault which);
  void InjectProcessFault(fault which);
  void InjectStop();
  process_id SelectFaultTarget();
  bool CanServe() const;

  scenario options_;
  run_context context_;
  std::unique_ptr<caller_process> caller_;
  std::unique_ptr<key_process> home_;
  std::unique_ptr<key_process> platform_;
  std::vector<std::unique_ptr<entry_process>> entries_;
  std::vector<std::unique_ptr<owner_process>> owners_;
  std::vector<std::unique_ptr<backend_process>> backends_;
  bool injected_ = false;
  process_id entry_reached_ = 0;
  std::size_t owner_reached_ = 0;
  std::vector<process_id> failed_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_SCENARIO_RUN_H_
