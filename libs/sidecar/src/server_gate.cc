#include "server_gate.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "gate_task.h"
#include "logging/log_event.h"

namespace pomelohall {
namespace {

pool_options PoolOptions(const server_gate_options& options) {
  return {.max_connections = options.max_connections,
          // The backend server is on this VM: it answers at once or not at all.
          .connect_timeout = std::chrono::milliseconds(300),
          .dead_peer_timeout = options.dead_peer_timeout,
          .echo_field = options.fields.attempt_id,
          .allow_close_delimited = true};
}

}  // namespace

server_gate::server_gate(boost::asio::io_context& io,
                         server_gate_options options, transmit_queue& link)
    : io_(io),
      options_(std::move(options)),
      link_(link),
      server_address_(options_.server_address),
      pool_(io, PoolOptions(options_)),
      server_({.address = options_.server_address,
               .silence = options_.announcement_timeout}),
      queue_({}) {}

server_gate::~server_gate() = default;

std::optional<error> server_gate::Refusal(const gate_request& request) const {
  if (!accepting_) {
    return error(error_kind::kDraining, "the daemon is stopping",
                 run_state::kNotRun);
  }
  const auto offer = server_.Offer();
  if (!offer) {
    const auto phase = server_.Phase();
    return error(
        phase == server_phase::kLeaving ? error_kind::kDraining
                                        : error_kind::kNoBackendServer,
        "the backend server is " + std::string(kServerPhaseNames.Name(phase)),
        run_state::kNotRun);
  }
  if (request.instance != offer->instance) {
    return error(error_kind::kNoBackendServer,
                 "the backend server is " + offer->instance + " now",
                 run_state::kNotRun);
  }
  return std::nullopt;
}

std::shared_ptr<exchange> server_gate::Start(gate_request request,
                                             exchange_events events) {
  const auto now = MonotonicNow();
  auto refusal = Refusal(request);
  work_item item{.id = ++last_id_,
                 .work_class = request.work_class,
                 .priority = request.priority,
                 .target_at = request.target_at,
                 .give_up_at = request.give_up_at,
                 .max_wait = request.max_wait};
  if (request.over_link) {
    item.link_time = link_.ExpectedTime(item.work_class);
  }
  // Small answers do not wait for large ones.
  if (item.link_time.count() > 0) item.link_free_at = link_.DoneAt(now);
  auto task = std::make_shared<gate_task>(*this, item.id, std::move(request),
                                          std::move(events));
  tasks_.emplace(item.id, task);
  auto verdict = work_verdict::kRefuse;
  if (!refusal) {
    verdict = queue_.Offer(item, now);
    if (verdict == work_verdict::kRefuse) {
      refusal = error(error_kind::kOverloaded,
                      "the backend server cannot run the request in time",
                      run_state::kNotRun);
    } else if (item.link_time.count() > 0) {
      link_.Promise(item.id, item.work_class);
    }
  }
  // Not inline: the starter must have the exchange before its first event.
  if (refusal) {
    boost::asio::post(io_,
                      [task, failure = *refusal] { task->Refuse(failure); });
  } else if (verdict == work_verdict::kRun) {
    boost::asio::post(io_, [task] { task->Run(); });
  }
  return task;
}

bool server_gate::OnAnnounced(const server_announcement& announcement,
                              instant now) {
  const auto before = server_.Phase();
  const auto offer = server_.Offer();
  if (!server_.OnAnnounced(announcement, now)) return false;
  if (server_.Offer() != offer) queue_.SetSlots(announcement.slots);
  PhaseChanged(before);
  if (server_.Offer() != offer && on_offer_changed_) on_offer_changed_();
  return true;
}

bool server_gate::OnWithdrawn(const std::string& instance, instant now) {
  const auto before = server_.Phase();
  if (!server_.OnWithdrawn(instance, now)) return false;
  PhaseChanged(before);
  if (on_offer_changed_) on_offer_changed_();
  return true;
}

void server_gate::OnUnreachable(const std::string& instance) {
  const auto before = server_.Phase();
  server_.OnUnreachable(instance, MonotonicNow());
  if (server_.Phase() == before) return;
  PhaseChanged(before);
  Refuse(queue_.TakeAll(), error_kind::kNoBackendServer,
         "the backend server is unreachable");
  if (on_offer_changed_) on_offer_changed_();
}

void server_gate::PhaseChanged(server_phase before) {
  if (server_.Phase() == before) return;
  const auto& announced = server_.Announced();
  log_event(log_level::kInfo, "server_phase")
      .With("from", kServerPhaseNames.Name(before))
      .With("to", kServerPhaseNames.Name(server_.Phase()))
      .With("instance", announced ? announced->instance : "")
      .With("service", announced ? announced->service : "")
      .With("sequence", announced ? announced->sequence : 0);
}

void server_gate::SetServerAddress(const std::string& address) {
  server_address_ = address;
  server_.SetAddress(address);
}

void server_gate::StopAccepting() {
  accepting_ = false;
  if (on_offer_changed_) on_offer_changed_();
}

std::optional<offered_server> server_gate::Offer() const {
  return accepting_ ? server_.Offer() : std::nullopt;
}

work_load server_gate::Load() const {
  auto load = queue_.Load();
  const auto now = MonotonicNow();
  // What the link sends while a request runs does not delay its answer.
  load.link_wait =
      std::max(link_.DoneAt(now) - now - load.mean_time, duration(0));
  return load;
}

void server_gate::Tick(instant now) {
  Refuse(queue_.TakeExpired(now), error_kind::kOverloaded,
         "the request waited too long to be answered in time");
  if (server_.Phase() == server_phase::kLeaving &&
      now - server_.Since() > options_.leaving_grace) {
    Refuse(queue_.TakeAll(), error_kind::kDraining,
           "the backend server is leaving");
  }
  std::vector<std::shared_ptr<gate_task>> tasks;
  for (const auto& [id, task] : tasks_) {
    if (now > task->Request().give_up_at) tasks.push_back(task);
  }
  for (const auto& task : tasks) task->CheckTime(now);
}

void server_gate::Sweep(instant now) {
  pool_.Sweep(now);
  const auto before = server_.Phase();
  server_.Tick(now);
  if (server_.Phase() == before) return;
  PhaseChanged(before);
  if (on_offer_changed_) on_offer_changed_();
}

void server_gate::Refuse(const std::vector<std::uint64_t>& ids, error_kind kind,
                         const std::string& why) {
  for (const auto id : ids) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    const auto task = found->second;
    task->Refuse({kind, why, run_state::kNotRun});
  }
}

void server_gate::Finish(std::uint64_t id, std::optional<duration> took) {
  queue_.OnFinished(id, took);
  Forget(id);
  RunWaiting();
}

void server_gate::Forget(std::uint64_t id) {
  queue_.Remove(id);
  link_.Withdraw(id);
  tasks_.erase(id);
}

void server_gate::RunWaiting() {
  while (const auto id = queue_.Next(MonotonicNow())) {
    const auto found = tasks_.find(*id);
    if (found == tasks_.end()) {
      queue_.OnFinished(*id, std::nullopt);
      continue;
    }
    boost::asio::post(io_, [task = found->second] { task->Run(); });
  }
}

}  // namespace pomelohall
