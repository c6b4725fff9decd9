#ifndef POMELOHALL_TESTS_MATRIX_CALLS_WORLD_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_WORLD_H_

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

/// Index of a process in the world.
using process_id = std::size_t;

/// What happens to a message of the observed request.
enum class message_fault { kLost, kDuplicated, kDelayed, kCrossed };

/// Whether a second copy of a message can reach a process at all. TCP carries
/// the bytes of one connection once.
enum class copies { kOnce, kRepeatable };

/// A message on a connection. Messages with the same (from, to, connection)
/// arrive in order.
struct message {
  process_id from = 0;
  process_id to = 0;
  std::string connection;
  /// Number of the request it belongs to.
  std::size_t request = 0;
  copies repeat = copies::kOnce;
  std::function<void()> deliver;
};

/// Processes, messages and timers in logical time. Deterministic: events at one
/// instant run in the order in which they were scheduled.
class world {
 public:
  /// Delay of a delayed message.
  static constexpr duration kDelay{1'500'000};
  /// Delay of a crossed message, long enough for the next messages on other
  /// connections to overtake it.
  static constexpr duration kCrossingDelay{25'000};

  explicit world(std::uint64_t seed) : random_(seed) {}

  /// Adds a process in a data centre; "" reaches every data centre.
  process_id AddProcess(std::string name, std::string data_centre);

  instant Now() const { return now_; }
  random_source& Random() { return random_; }
  const std::string& NameOf(process_id id) const { return processes_[id].name; }
  bool Alive(process_id id) const { return processes_[id].alive; }

  /// Returns the number of starts of a process.
  std::uint64_t EpochOf(process_id id) const { return processes_[id].epoch; }

  /// Called at each live process when another one died or was found dead. The
  /// epoch tells which start of it.
  std::function<void(process_id observer, process_id dead, std::uint64_t epoch)>
      on_peer_died;

  /// Called when a process has started again, without any state.
  std::function<void(process_id)> on_restarted;

  /// Sends a message; it is dropped if the receiver is dead or cut off.
  void Send(message item);

  /// Runs `action` at a process after `delay`, unless it died. A frozen process
  /// runs it when it wakes.
  void After(duration delay, process_id process, std::function<void()> action);

  /// Runs `action` after `delay` whatever the processes do.
  void Always(duration delay, std::function<void()> action);

  void Kill(process_id id);
  void Restart(process_id id, duration pause);
  void Freeze(process_id id, duration time);

  /// Cuts the data centres off from each other.
  void Partition(duration time);
  bool Partitioned() const { return now_ < partitioned_until_; }

  /// Applies `fault` to the message of `request` after the next `skip` ones.
  void ArmMessageFault(message_fault fault, std::size_t request,
                       std::size_t skip);

  /// Runs all events up to `end`.
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
  void AtProcess(instant when, process_id process, std::uint64_t epoch,
                 std::function<void()> action);
  void Arrive(const message& item, std::uint64_t epoch);
  void TellDeath(process_id observer, process_id dead, std::uint64_t epoch);
  bool Separated(process_id left, process_id right) const;
  std::optional<message_fault> TakeFault(const message& item);

  random_source random_;
  instant now_{std::chrono::seconds(1'000)};
  std::vector<process> processes_;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_ = 0;
  std::map<connection_key, instant> last_arrival_;
  std::set<connection_key> hung_;
  std::vector<armed_fault> armed_;
  instant partitioned_until_{};
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_WORLD_H_
