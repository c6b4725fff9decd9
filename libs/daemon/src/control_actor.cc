#include "daemon/control_actor.h"

#include <caf/all.hpp>
#include <chrono>
#include <utility>

namespace pomelohall {

/// Message to the actor: a task to run on the core.
struct control_task {
  std::function<void(control_core&, instant)> run;
};

}  // namespace pomelohall

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(pomelohall::control_task)

namespace pomelohall {
namespace {

class core_actor : public caf::event_based_actor {
 public:
  core_actor(caf::actor_config& config, const control_options* options,
             control_effects* effects, std::uint64_t seed)
      : caf::event_based_actor(config),
        tick_interval_(options->tick_interval),
        core_(*options, *effects, seed) {}

  caf::behavior make_behavior() override {
    OnTick();
    return {
        [this](const control_task& task) { task.run(core_, MonotonicNow()); },
        [this](caf::tick_atom) { OnTick(); },
    };
  }

 private:
  void OnTick() {
    core_.Tick(MonotonicNow());
    delayed_send(this, tick_interval_, caf::tick_atom::value);
  }

  const duration tick_interval_;
  control_core core_;
};

caf::actor_system_config& ConfigureScheduler(caf::actor_system_config& config) {
  // One worker thread is enough for one actor and leaves the VM's cores to the
  // backend server.
  config.set("scheduler.max-threads", std::size_t{1});
  // The work-stealing scheduler polls its queue, which costs 4% of a core when
  // idle. The work-sharing scheduler waits on a condition variable.
  config.set("scheduler.policy", caf::atom("sharing"));
  return config;
}

}  // namespace

class control_actor::impl {
 public:
  impl(const control_options& options, control_effects& effects,
       std::uint64_t seed)
      : system_(ConfigureScheduler(config_)),
        actor_(system_.spawn<core_actor>(&options, &effects, seed)) {}

  ~impl() { Stop(); }

  void Post(std::function<void(control_core&, instant)> task) {
    caf::anon_send(actor_, control_task{std::move(task)});
  }

  void Stop() {
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    system_.await_all_actors_done();
  }

 private:
  caf::actor_system_config config_;
  caf::actor_system system_;
  caf::actor actor_;
};

control_actor::control_actor(const control_options& options,
                             control_effects& effects, std::uint64_t seed)
    : impl_(std::make_unique<impl>(options, effects, seed)) {}

control_actor::~control_actor() = default;

void control_actor::Post(std::function<void(control_core&, instant)> task) {
  impl_->Post(std::move(task));
}

void control_actor::Stop() { impl_->Stop(); }

}  // namespace pomelohall
