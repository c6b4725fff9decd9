#ifndef POMELOHALL_TESTS_MATRIX_CALLS_SIMULATION_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace pomelohall::matrix::calls {

/// Index of a process in the simulation.
using process_id = std::size_t;

/// Faults of a single message.
enum class message_fault { kLost, kDuplicated, kDelayed, kReordered };

/// Whether a message can be delivered twice. TCP delivers the bytes of one
/// connection only once; a message is repeatable if its sender may send it
/// again.
enum class message_delivery { kOnce, kRepeatable };

/// A message on a connection. Messages with the same `from`, `to` and
/// `connection` arrive in order.
struct message {
  process_id from = 0;
  process_id to = 0;
  std::string connection;
  /// Number of the request that the message belongs to.
  std::size_t request = 0;
  message_delivery delivery = message_delivery::kOnce;
  std::function<void()> deliver;
};

/// Discrete-event simulation of processes, messages and timers. Deterministic:
/// events with the same time run in the order in which they were scheduled.
class simulation {
 public:
  /// Additional latency of a delayed message.
  static constexpr duration kMessageDelay{1'500'000};
  /// Additional latency of a reordered message, long enough for later messages
  /// on other connections to overtake it.
  static constexpr duration kReorderDelay{25'000};

  explicit simulation(std::uint64_t seed) : random_(seed) {}

  /// Adds a process in a data centre. A process with data centre "" is not
  /// affected by partitions.
  process_id AddProcess(std::string name, std::string data_centre);

  instant Now() const { return now_; }
  random_source& Random() { return random_; }
  const std::string& NameOf(process_id id) const { return processes_[id].name; }
  bool Alive(process_id id) const { return processes_[id].alive; }

  /// Returns how often a process has been started.
  std::uint64_t EpochOf(process_id id) const { return processes_[id].epoch; }

  /// Called for each live process that notices the death of another process.
  /// `epoch` identifies the start of the dead process.
  std::function<void(process_id observer, process_id dead, std::uint64_t epoch)>
      on_peer_died;

  /// Called when a process has restarted. It must reset the state of the
  /// process.
  std::function<void(process_id)> on_restarted;

  /// Sends a message, which is dropped if the receiver is dead or partitioned
  /// from the sender.
  void Send(message item);

  /// Runs `action` on a process after `delay`, unless the process has died. A
  /// frozen process runs it when it resumes.
  void RunAtProcess(duration delay, process_id process,
                    std::function<void()> action);

  /// Runs `action` after `delay`, regardless of the state of any process.
  void RunAfter(duration delay, std::function<void()> action);

  void Kill(process_id id);
  void Restart(process_id id, duration pause);
  void Freeze(process_id id, duration time);

  /// Interrupts all messages between different data centres.
  void Partition(duration time);
  bool Partitioned() const { return now_ < partitioned_until_; }

  /// Applies `fault` to one message of `request`, after skipping `skip`
  /// messages.
  void ArmMessageFault(message_fault fault, std::size_t request,
                       std::size_t skip);

  /// Runs all events due up to `end`.
  void RunUntil(instant end);

 private:
  struct process {
    std::string name;
    std::string data_centre;
    bool alive = true;
    std::uint64_t epoch = 1;
    instant frozen_until{};
  };

  struct armed_fault {
    message_fault fault = message_fault::kLost;
    std::size_t request = 0;
    std::size_t skip = 0;
  };

  using connection_key = std::tuple<process_id, process_id, std::string>;

  void Schedule(instant when, std::function<void()> action);
  void ScheduleAtProcess(instant when, process_id process, std::uint64_t epoch,
                         std::function<void()> action);
  void Arrive(const message& item, std::uint64_t epoch);
  void NotifyDeath(process_id observer, process_id dead, std::uint64_t epoch);
  bool ArePartitioned(process_id left, process_id right) const;
  std::optional<message_fault> TakeFault(const message& item);

  random_source random_;
  instant now_{std::chrono::seconds(1'000)};
  std::vector<process> processes_;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_ = 0;
  std::map<connection_key, instant> last_arrival_;
  std::set<connection_key> stalled_connections_;
  std::vector<armed_fault> armed_faults_;
  instant partitioned_until_{};
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_SIMULATION_H_
