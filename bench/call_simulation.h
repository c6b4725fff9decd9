#ifndef POMELOHALL_BENCH_CALL_SIMULATION_H_
#define POMELOHALL_BENCH_CALL_SIMULATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "model/configuration.h"
#include "policy/admission_controller.h"
#include "policy/call_state_machine.h"
#include "policy/retry_policy.h"
#include "quarantine/quarantine.h"
#include "routing/server_selector.h"

namespace pomelohall::bench {

/// How calls are distributed. All but the first are baselines without limits,
/// deadlines, cancellation or a retry budget.
enum class call_policy {
  kPomelohall,
  kRoundRobin,
  kLeastOutstanding,
  kLeastReported,  ///< Trusts the load that servers report.
};

/// One backend server of the simulation.
struct server_profile {
  double slowness = 1;        ///< Factor on the service time.
  bool cold = false;          ///< Joins after 2 s, warms up over 5 s.
  bool crashes = false;       ///< Down for 0.5 s in every 2 s.
  bool reports_idle = false;  ///< Reports no load whatever it does.
};

inline constexpr std::size_t kKinds = 3;  ///< Indexed by class_kind.

struct simulation_options {
  call_policy policy = call_policy::kPomelohall;
  std::vector<server_profile> servers = std::vector<server_profile>(4);
  /// Offered work per kind as a share of the capacity of four servers.
  std::array<double, kKinds> load{};
  duration length{10'000'000};
  std::uint64_t seed = 1;
};

/// What happened to the requests of one kind.
struct kind_figures {
  std::uint64_t offered = 0;
  std::uint64_t met = 0;  ///< Whole answer within the target.
};

struct simulation_figures {
  std::array<kind_figures, kKinds> kinds{};
  std::uint64_t attempts = 0;
  double seconds = 0;  ///< Of the observed time.
};

/// Entry daemons, owners and backend servers in logical time.
class call_simulation {
 public:
  explicit call_simulation(simulation_options options);

  simulation_figures Run();

 private:
  struct call {
    class_kind kind = class_kind::kLookup;
    std::size_t entry = 0;
    instant begun_at;
    instant deadline;
    duration work{0};
    bool counted = false;
    bool settled = false;
    std::unique_ptr<call_state_machine> state_machine;
    std::size_t failures = 0;
  };

  /// An attempt on a server.
  struct job {
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    std::size_t server = 0;
    std::uint64_t epoch = 0;
    instant started_at{};
    bool running = false;
  };

  struct server {
    server_profile profile;
    std::string member;
    std::uint64_t epoch = 1;
    bool up = true;
    bool joined = true;
    std::size_t running = 0;
    std::vector<std::uint64_t> waiting;  ///< Jobs, baselines only.
    std::size_t first_waiting = 0;
    std::unique_ptr<admission_controller> owner;
    std::unique_ptr<quarantine> suspects;
    bool ticking = false;
  };

  struct entry {
    std::unique_ptr<server_selector> selector;
    std::unique_ptr<retry_policy> retries;
    std::vector<std::size_t> outstanding;
    std::size_t next = 0;
  };

  struct event {
    instant when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  bool Real() const { return options_.policy == call_policy::kPomelohall; }
  void After(duration delay, std::function<void()> action);
  void AddServers();
  void PublishServers();
  void ScheduleCrash(std::size_t index);
  void ScheduleArrival(class_kind kind);
  void Arrive(class_kind kind);
  duration WorkOf(class_kind kind);
  void Settle(std::uint64_t id, bool whole);

  void RunActions(std::uint64_t id, const call_state_machine::actions& todo);
  void ScheduleTimer(std::uint64_t id);
  void ScheduleTick(std::size_t index);
  void Tell(std::size_t from, const std::vector<suspect_event>& events);
  void OnOwner(std::uint64_t job_id);
  void RunDecisions(std::size_t index,
                    const std::vector<admission_decision>& decisions);
  void CancelJob(std::uint64_t id, std::uint32_t attempt);

  void SendBaseline(std::uint64_t id);
  std::size_t SelectBaseline(entry& from);
  void OnServerBaseline(std::uint64_t job_id);
  void FailBaseline(std::uint64_t job_id);
  void StartWaiting(std::size_t index);

  void StartJob(std::uint64_t job_id);
  void EndJob(std::uint64_t job_id);
  void Crash(std::size_t index);
  double Slowness(const server& item) const;

  simulation_options options_;
  random_source random_;
  instant begin_{std::chrono::seconds(100)};
  instant now_ = begin_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::vector<server> servers_;
  std::vector<entry> entries_;
  std::unordered_map<std::uint64_t, call> calls_;
  std::unordered_map<std::uint64_t, job> jobs_;
  std::uint64_t last_id_ = 0;
  simulation_figures figures_;
};

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CALL_SIMULATION_H_
