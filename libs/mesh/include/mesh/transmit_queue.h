#ifndef POMELOHALL_MESH_TRANSMIT_QUEUE_H_
#define POMELOHALL_MESH_TRANSMIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/smoothed_mean.h"

namespace pomelohall {

/// Settings of a transmit_queue.
struct transmit_queue_options {
  /// Rate at which answers may leave, in bytes a second; 0 is without a bound,
  /// and no answer then waits.
  double bytes_per_second = 0;
  /// Answers that leave in less than this go at once: they delay others by
  /// little, and are what running requests wait for.
  duration min_paced_time = std::chrono::milliseconds(10);
};

/// A large answer that is ready to leave.
struct transmission {
  std::uint64_t id = 0;  ///< Unique in its queue.
  std::uint64_t bytes = 0;
  instant target_at;  ///< An answer until then meets its target.
};

/// Large answers that leave a VM over its network link, one after the other.
/// Answers the load in which backend servers produce more bytes than the link
/// carries: if all answers are sent at once, each of them is late, and the
/// small answers that running requests wait for are late with them. Also knows
/// what the requests in progress will add, so that a request whose answer
/// cannot leave in time is refused before it runs.
class transmit_queue {
 public:
  explicit transmit_queue(transmit_queue_options options);

  /// Whether an answer of this size has to wait for its turn.
  bool IsPaced(std::uint64_t bytes) const;

  /// Learns the size of an answer to a request of `work_class`.
  void OnAnswer(const std::string& work_class, std::uint64_t bytes);

  /// Time that the answer to a request of `work_class` occupies the link, as
  /// expected; 0 for answers that go at once.
  duration ExpectedTime(const std::string& work_class) const;

  /// Counts the answer of a request in progress until Withdraw().
  void Promise(std::uint64_t request, const std::string& work_class);
  /// The request has ended. No effect if nothing was promised.
  void Withdraw(std::uint64_t request);

  void Add(const transmission& answer);
  /// Removes an answer that nobody waits for. No effect if it is not there.
  void Remove(std::uint64_t id);

  /// Takes out the answer that leaves now, or nothing while another one leaves.
  /// The earliest target that can still be met goes first, then the oldest.
  std::optional<std::uint64_t> Next(instant now);

  /// Counts bytes that leave without a turn: small answers, and those to the
  /// callers of this VM, which use the same link.
  void OnSent(std::uint64_t bytes, instant now);

  /// Whether answers wait.
  bool Empty() const { return waiting_.empty(); }
  /// When the answer that leaves at present has left.
  instant FreeAt() const { return free_at_; }
  /// When the link has sent all that waits or is promised.
  instant DoneAt(instant now) const;

 private:
  duration TimeOf(std::uint64_t bytes) const;

  const transmit_queue_options options_;
  instant free_at_;
  std::vector<transmission> waiting_;  ///< In order of arrival.
  duration waiting_time_{0};
  std::unordered_map<std::string, smoothed_mean> class_bytes_;
  std::unordered_map<std::uint64_t, duration> promised_;
  duration promised_time_{0};
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_TRANSMIT_QUEUE_H_
