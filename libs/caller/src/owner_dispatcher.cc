#include "owner_dispatcher.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

#include "owner_task.h"

namespace pomelohall {
namespace {

// Calls whose deadline passes in the queue fail at most this much later.
constexpr auto kTickInterval = std::chrono::milliseconds(5);

}  // namespace

owner_dispatcher::owner_dispatcher(service_context& context)
    : context_(context),
      admission_(context.options.admission),
      tick_timer_(context.io) {}

std::shared_ptr<exchange> owner_dispatcher::Start(const context_ptr& context,
                                                  owner_request request,
                                                  exchange_events events) {
  const auto id = ++next_request_id_;
  auto task = std::make_shared<owner_task>(context, id, std::move(request),
                                           std::move(events));
  tasks_.emplace(id, task);
  task->Submit();
  return task;
}

void owner_dispatcher::OnBackendChanged() {
  const auto view = context_.options.backend();
  const bool runs = view.state == backend_state::kReady ||
                    view.state == backend_state::kDraining;
  admission_.SetSlots(runs ? view.slots : 0, MonotonicNow());
  admission_.SetDraining(view.state == backend_state::kDraining);
  ApplyDecisions(admission_.Tick(MonotonicNow()));
}

result<quarantine_verdict> owner_dispatcher::CheckAcceptable(
    const owner_request& request) const {
  const auto view = context_.options.backend();
  if (context_.draining || view.state == backend_state::kDraining) {
    return Fail(error_kind::kDraining, "this daemon accepts no new calls");
  }
  if (view.state != backend_state::kReady || view.service != request.service) {
    return Fail(error_kind::kNoBackendServer,
                "no backend server of service \"" + request.service +
                    "\" is ready on the VM of daemon " +
                    context_.options.member);
  }
  const auto verdict = context_.quarantine.Check(
      request.service, request.fingerprint, MonotonicNow());
  if (verdict == quarantine_verdict::kRefuse) {
    return Fail(error_kind::kPoisonSuspected,
                "this request crashed backend servers");
  }
  return verdict;
}

void owner_dispatcher::Submit(const admission_request& request) {
  ApplyDecisions(admission_.Submit(request, MonotonicNow()));
}

void owner_dispatcher::Finish(request_id id, duration latency, bool ok) {
  ApplyDecisions(admission_.Finish(id, latency, ok, MonotonicNow()));
}

void owner_dispatcher::Cancel(request_id id) {
  ApplyDecisions(admission_.Cancel(id, MonotonicNow()));
}

void owner_dispatcher::ApplyDecisions(
    const std::vector<admission_decision>& decisions) {
  for (const auto& decision : decisions) {
    const auto found = tasks_.find(decision.id);
    if (found == tasks_.end()) continue;
    const auto task = found->second;
    if (decision.refused) {
      task->OnRefused(*decision.refused);
    } else {
      task->OnAdmitted();
    }
  }
  ScheduleTick();
}

void owner_dispatcher::ScheduleTick() {
  if (tick_scheduled_ || admission_.Queued() == 0) return;
  tick_scheduled_ = true;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) self->Tick();
      });
}

void owner_dispatcher::Tick() {
  tick_scheduled_ = false;
  ApplyDecisions(admission_.Tick(MonotonicNow()));
}

void owner_dispatcher::CheckCrash(const context_ptr& context,
                                  const std::shared_ptr<owner_task>& task,
                                  std::function<void()> done) {
  // A crash fails all calls in flight one after another, but is counted once.
  if (!crash_check_ && task->InCrashGroup()) {
    done();
    return;
  }
  if (crash_check_) {
    crash_check_->waiting.push_back(std::move(done));
    return;
  }
  crash_check_ = std::make_unique<crash_check>();
  crash_check_->service = task->Service();
  crash_check_->waiting.push_back(std::move(done));
  for (const auto& [id, other] : tasks_) {
    if (!other->IsInFlight()) continue;
    other->SetInCrashGroup(true);
    crash_check_->group.push_back(other);
  }
  context_.backend.Probe(context_.options.backend().address,
                         [this, context](probe_result result) {
                           OnProbed(result == probe_result::kAccepted);
                         });
}

void owner_dispatcher::OnProbed(bool alive) {
  const auto check = std::move(crash_check_);
  if (!alive) ReportCrash(*check);
  for (const auto& task : check->group) {
    if (alive) task->SetInCrashGroup(false);
  }
  for (const auto& done : check->waiting) done();
}

void owner_dispatcher::Abort() {
  const auto tasks = std::exchange(tasks_, {});
  for (const auto& [id, task] : tasks) task->Abort();
}

void owner_dispatcher::ReportCrash(const crash_check& check) {
  std::vector<std::uint64_t> in_flight;
  for (const auto& task : check.group) {
    if (task->IsInFlight()) in_flight.push_back(task->Fingerprint());
  }
  ++context_.counters.backend_crashes;
  context_.NotifySuspects(
      context_.quarantine.OnCrash(check.service, in_flight, MonotonicNow()));
}

}  // namespace pomelohall
