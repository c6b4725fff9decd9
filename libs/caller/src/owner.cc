#include "owner.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

#include "owner_task.h"

namespace pomelohall {
namespace {

// Deadlines in the queue are answered with this delay at most.
constexpr auto kTickInterval = std::chrono::milliseconds(5);

}  // namespace

owner::owner(service_context& context)
    : context_(context),
      admission_(context.options.admission),
      tick_(context.io) {}

std::shared_ptr<exchange> owner::Start(const context_ptr& context,
                                       owner_request request,
                                       exchange_events events) {
  const auto id = ++next_request_id_;
  auto task = std::make_shared<owner_task>(context, id, std::move(request),
                                           std::move(events));
  tasks_.emplace(id, task);
  task->Submit();
  return task;
}

void owner::OnBackendChanged() {
  const auto view = context_.options.backend();
  const bool runs = view.state == backend_state::kReady ||
                    view.state == backend_state::kDraining;
  admission_.SetSlots(runs ? view.slots : 0, MonotonicNow());
  admission_.SetDraining(view.state == backend_state::kDraining);
  Apply(admission_.Tick(MonotonicNow()));
}

result<quarantine_verdict> owner::Accept(const owner_request& request) const {
  const auto view = context_.options.backend();
  if (context_.draining || view.state == backend_state::kDraining) {
    return Fail(error_kind::kDraining, "this daemon takes no new work");
  }
  if (view.state != backend_state::kReady || view.service != request.service) {
    return Fail(error_kind::kNoBackendServer,
                "no backend server of service \"" + request.service +
                    "\" is ready beside daemon " + context_.options.member);
  }
  const auto verdict = context_.quarantine.Check(
      request.service, request.fingerprint, MonotonicNow());
  if (verdict == quarantine_verdict::kRefuse) {
    return Fail(error_kind::kPoisonSuspected,
                "this request crashed backend servers");
  }
  return verdict;
}

void owner::Submit(const admission_request& request) {
  Apply(admission_.Submit(request, MonotonicNow()));
}

void owner::Finish(request_id id, duration latency, bool ok) {
  Apply(admission_.Finish(id, latency, ok, MonotonicNow()));
}

void owner::Cancel(request_id id) {
  Apply(admission_.Cancel(id, MonotonicNow()));
}

void owner::Apply(const std::vector<admission_decision>& decisions) {
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

void owner::ScheduleTick() {
  if (tick_scheduled_ || admission_.Queued() == 0) return;
  tick_scheduled_ = true;
  tick_.expires_after(kTickInterval);
  tick_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) self->Tick();
      });
}

void owner::Tick() {
  tick_scheduled_ = false;
  Apply(admission_.Tick(MonotonicNow()));
}

void owner::CheckCrash(const context_ptr& context,
                       const std::shared_ptr<owner_task>& task,
                       std::function<void()> done) {
  // A crash ends all calls, one after the other: it is counted once.
  if (!check_ && task->InCrashGroup()) {
    done();
    return;
  }
  if (check_) {
    check_->waiting.push_back(std::move(done));
    return;
  }
  check_ = std::make_unique<crash_check>();
  check_->service = task->Service();
  check_->waiting.push_back(std::move(done));
  for (const auto& [id, other] : tasks_) {
    if (!other->Exposed()) continue;
    other->SetInCrashGroup(true);
    check_->group.push_back(other);
  }
  context_.backend.Probe(context_.options.backend().address,
                         [this, context](bool alive) { OnProbed(alive); });
}

void owner::OnProbed(bool alive) {
  const auto check = std::move(check_);
  if (!alive) ReportCrash(*check);
  for (const auto& task : check->group) {
    if (alive) task->SetInCrashGroup(false);
  }
  for (const auto& done : check->waiting) done();
}

void owner::Abort() {
  const auto tasks = std::exchange(tasks_, {});
  for (const auto& [id, task] : tasks) task->Abort();
}

void owner::ReportCrash(const crash_check& check) {
  std::vector<std::uint64_t> in_flight;
  for (const auto& task : check.group) {
    if (task->Exposed()) in_flight.push_back(task->Fingerprint());
  }
  ++context_.counters.backend_crashes;
  context_.Emit(
      context_.quarantine.OnCrash(check.service, in_flight, MonotonicNow()));
}

}  // namespace pomelohall
