#ifndef POMELOHALL_MESH_WORK_QUEUE_H_
#define POMELOHALL_MESH_WORK_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/smoothed_mean.h"

namespace pomelohall {

/// A request that wants to run on a backend server.
struct work_item {
  std::uint64_t id = 0;    ///< Unique in its queue.
  std::string work_class;  ///< Requests of one class take about the same time.
  int priority = 0;        ///< 0 is the most urgent.
  instant target_at;       ///< An answer until then meets its target.
  instant give_up_at;      ///< An answer after it is of no use.
  /// When the network link has sent what goes before the answer. The answer
  /// leaves at this time or when the request has run, whichever is later. In
  /// the past for an answer that does not wait.
  instant link_free_at;
  duration link_time{0};  ///< Time that the answer occupies the link.
  /// The sender has other backend servers to ask, and asks them first if the
  /// request would wait for longer here.
  duration max_wait = duration::max();
};

/// Settings of a work_queue.
struct work_queue_options {
  std::size_t slots = 1;  ///< Requests that run at once.
  /// Work that misses its target waits only while the queue is shorter than
  /// this: late work must not build a queue that makes work late which arrives
  /// in time.
  duration late_wait = std::chrono::milliseconds(50);
  /// Part of the mean time that is allowed for in addition when work is judged
  /// by its target, as times differ.
  double time_margin = 0.25;
};

/// What becomes of offered work.
enum class work_verdict {
  kRun,     ///< Starts now.
  kWait,    ///< Starts later; Next() tells when.
  kRefuse,  ///< Cannot run in time.
};

/// Load of a backend server, as its daemon reports it to others.
struct work_load {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 0;
  duration mean_time{0};  ///< Of a request on the backend server.
  /// Time that a large answer waits for the network link.
  duration link_wait{0};
};

/// The requests before one backend server: at most `slots` run, the others wait
/// in order of priority. Answers the load in which callers send more than the
/// backend servers can run: without a bound every request waits until it is
/// late, and with arrival order the least urgent work delays the most urgent.
/// So work is refused at arrival if it would end too late, urgent work goes
/// first, and work that still meets its target goes before work that does not.
/// An answer that would have to wait for the network link counts as ending when
/// it has left.
class work_queue {
 public:
  explicit work_queue(work_queue_options options);

  /// Sets the slots, for example when another backend server has started.
  void SetSlots(std::size_t slots);

  work_verdict Offer(const work_item& item, instant now);

  /// Takes out the next work that starts, or nothing.
  std::optional<std::uint64_t> Next(instant now);

  /// Takes out waiting work that can no longer end in time.
  std::vector<std::uint64_t> TakeExpired(instant now);

  /// Takes out all waiting work.
  std::vector<std::uint64_t> TakeAll();

  /// Removes waiting work whose caller has left. No effect if it is not there.
  void Remove(std::uint64_t id);

  /// Frees the slot of work that ran.
  /// @param took Time on the backend server; nothing if it was broken off.
  void OnFinished(std::uint64_t id, std::optional<duration> took);

  /// Mean time that requests of `work_class` run; 0 before the first one.
  duration ExpectedTime(const std::string& work_class) const;

  work_load Load() const;

 private:
  // Order of the queue: priority, then work that meets its target, then the
  // earlier target, which puts the short calls of running requests before new
  // requests of the same priority; then age.
  using order_key = std::tuple<int, bool, instant, std::uint64_t>;

  static order_key KeyOf(const work_item& item, bool in_time,
                         std::uint64_t number);
  // Time until work with `key` would start: only work that goes before it
  // counts.
  duration ExpectedWait(const order_key& key) const;
  bool MeetsTarget(const work_item& item, instant start) const;
  // Time that the answer waits for the network link after a run from `start`.
  duration LinkWait(const work_item& item, instant start) const;
  // Time at which the answer has left, if the request starts at `start`.
  instant EndOf(const work_item& item, instant start) const;
  void Start(const work_item& item);

  work_queue_options options_;
  std::uint64_t next_number_ = 0;
  std::map<order_key, work_item> waiting_;
  std::unordered_map<std::uint64_t, order_key> keys_;
  std::unordered_map<std::uint64_t, std::string> running_;  ///< Id to class.
  std::unordered_map<std::string, smoothed_mean> class_time_us_;
  smoothed_mean mean_time_us_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_WORK_QUEUE_H_
