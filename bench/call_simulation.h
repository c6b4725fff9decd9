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

/// How the entry daemons select a server for a call. All but the first are
/// baselines without admission limits, deadlines, cancellation or a retry
/// budget.
enum class call_policy {
  kPomelohall,  ///< The production code.
  kRoundRobin,
  kLeastOutstanding,
  kLeastReported,  ///< Least load as reported by the servers.
};

/// Behaviour of one simulated backend server.
struct server_profile {
  double slowness = 1;        ///< Factor applied to the service time.
  bool cold = false;          ///< Joins after 2 s and warms up over 5 s.
  bool crashes = false;       ///< Down for 0.5 s in every 2 s.
  bool reports_idle = false;  ///< Always reports a load of zero.
};

inline constexpr std::size_t kKindCount = 3;  ///< Values of class_kind.

struct simulation_options {
  call_policy policy = call_policy::kPomelohall;
  std::vector<server_profile> servers = std::vector<server_profile>(4);
  /// Offered load per kind as a share of the capacity of four servers.
  std::array<double, kKindCount> load{};
  duration length{10'000'000};
  std::uint64_t seed = 1;
};

/// Outcome of the requests of one kind.
struct kind_counts {
  std::uint64_t offered = 0;
  std::uint64_t met = 0;  ///< Answered completely within the target.
};

struct simulation_results {
  std::array<kind_counts, kKindCount> kinds{};
  std::uint64_t attempts = 0;
  double seconds = 0;  ///< Length of the run without the warm-up time.
};

/// Discrete-event simulation of entry daemons, owners and backend servers.
class call_simulation {
 public:
  explicit call_simulation(simulation_options options);

  simulation_results Run();

 private:
  struct call {
    class_kind kind = class_kind::kLookup;
    std::size_t entry = 0;
    instant arrived_at;
    instant deadline;
    duration service_time{0};
    bool after_warm_up = false;
    bool outcome_recorded = false;
    std::unique_ptr<call_state_machine> state_machine;
    std::size_t failures = 0;
  };

  /// One attempt to run a call on a server.
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
    std::size_t first_waiting = 0;       ///< Index of the next job to start.
    std::unique_ptr<admission_controller> admission;
    std::unique_ptr<quarantine> poison_quarantine;
    bool tick_scheduled = false;
  };

  struct entry_daemon {
    std::unique_ptr<server_selector> selector;
    std::unique_ptr<retry_policy> retries;
    std::vector<std::size_t> outstanding;
    std::size_t next_server = 0;  ///< Where the baselines start to search.
  };

  struct event {
    instant when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  bool UsesProductionCode() const {
    return options_.policy == call_policy::kPomelohall;
  }
  /// Runs `action` after `delay`.
  void ScheduleAfter(duration delay, std::function<void()> action);
  void AddServers();
  void PublishServers();
  void ScheduleCrash(std::size_t index);
  void ScheduleArrival(class_kind kind);
  void Arrive(class_kind kind);
  duration RandomServiceTime(class_kind kind);
  /// Records the first outcome of a call; later ones are ignored.
  void RecordOutcome(std::uint64_t id, bool complete);

  void ExecuteActions(std::uint64_t id,
                      const call_state_machine::actions& actions);
  void ScheduleTimer(std::uint64_t id);
  void ScheduleTick(std::size_t index);
  void BroadcastSuspects(std::size_t from,
                         const std::vector<suspect_event>& events);
  void SubmitToOwner(std::uint64_t job_id);
  void RunDecisions(std::size_t index,
                    const std::vector<admission_decision>& decisions);
  void CancelJob(std::uint64_t id, std::uint32_t attempt);

  void SendBaselineAttempt(std::uint64_t id);
  std::size_t SelectBaselineServer(entry_daemon& from);
  void EnqueueBaseline(std::uint64_t job_id);
  /// Sends the call of a failed job again if that is allowed.
  void RetryBaseline(std::uint64_t job_id);
  void StartWaitingJobs(std::size_t index);

  void StartJob(std::uint64_t job_id);
  void EndJob(std::uint64_t job_id);
  void Crash(std::size_t index);
  double Slowness(const server& target) const;

  simulation_options options_;
  random_source random_;
  instant begin_{std::chrono::seconds(100)};
  instant now_ = begin_;
  std::priority_queue<event> events_;
  std::uint64_t next_order_ = 0;
  std::vector<server> servers_;
  std::vector<entry_daemon> entries_;
  std::unordered_map<std::uint64_t, call> calls_;
  std::unordered_map<std::uint64_t, job> jobs_;
  std::uint64_t last_id_ = 0;
  simulation_results results_;
};

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CALL_SIMULATION_H_
