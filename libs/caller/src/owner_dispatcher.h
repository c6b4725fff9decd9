#ifndef POMELOHALL_CALLER_SRC_OWNER_DISPATCHER_H_
#define POMELOHALL_CALLER_SRC_OWNER_DISPATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/exchange.h"
#include "model/configuration.h"
#include "policy/admission_controller.h"
#include "service_context.h"

namespace pomelohall {

class owner_task;

// A call for the backend server of this VM.
struct owner_request {
  outgoing_request request;  // As sent to the backend server.
  std::string service;
  std::string work_class;
  class_kind kind = class_kind::kLookup;
  std::uint64_t fingerprint = 0;
  instant deadline;
};

// The owner role of a daemon: queues calls, admits them to the backend server,
// and detects whether a lost call was part of a crash of the backend server.
// Owned by the service_context.
class owner_dispatcher : public std::enable_shared_from_this<owner_dispatcher> {
 public:
  explicit owner_dispatcher(service_context& context);

  // Starts a call. On failure, error::ran tells whether the call ran.
  std::shared_ptr<exchange> Start(const context_ptr& context,
                                  owner_request request,
                                  exchange_events events);

  // Must be called when the announcement of the backend server has changed.
  void OnBackendChanged();
  std::size_t InFlight() const { return tasks_.size(); }
  const class admission_controller& Admission() const { return admission_; }

  // Cancels all calls.
  void Abort();

  // Called by owner_task.
  result<quarantine_verdict> CheckAcceptable(
      const owner_request& request) const;
  void Submit(const admission_request& request);
  void Finish(request_id id, duration latency, bool ok);
  void Cancel(request_id id);
  void RemoveTask(request_id id) { tasks_.erase(id); }
  // Checks whether the backend server crashed while `task` ran, reports a crash
  // to the quarantine, then calls `done`.
  void CheckCrash(const context_ptr& context,
                  const std::shared_ptr<owner_task>& task,
                  std::function<void()> done);

 private:
  struct crash_check {
    std::string service;
    // Tasks that were in flight when the check started.
    std::vector<std::shared_ptr<owner_task>> group;
    // Callbacks of CheckCrash() calls that wait for the result.
    std::vector<std::function<void()>> waiting;
  };

  void ApplyDecisions(const std::vector<admission_decision>& decisions);
  void ScheduleTick();
  void Tick();
  void OnProbed(bool alive);
  void ReportCrash(const crash_check& check);

  service_context& context_;
  class admission_controller admission_;
  std::unordered_map<request_id, std::shared_ptr<owner_task>> tasks_;
  std::unique_ptr<crash_check> crash_check_;
  boost::asio::steady_timer tick_timer_;
  bool tick_scheduled_ = false;
  request_id next_request_id_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_OWNER_DISPATCHER_H_
