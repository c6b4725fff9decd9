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
#include "mesh/moving_average.h"

namespace pomelohall {

/// A request to run on a backend server.
struct work_item {
  std::uint64_t id = 0;    ///< Unique in its queue.
  std::string work_class;  ///< Requests of one class take about the same time.
  int priority = 0;        ///< 0 is the most urgent.
  instant target_at;       ///< Time until which a response meets its target.
  instant deadline;        ///< A response after this is useless.
  /// When the network link will have sent all earlier responses. The response
  /// is sent at this time or after the run, whichever is later. In the past if
  /// the response does not wait for the link.
  instant link_free_at;
  duration link_time{0};  ///< Time that the response occupies the link.
  /// The request is refused on arrival if it is expected to wait longer than
  /// this, so that its sender can try other backend servers first.
  duration max_wait = duration::max();
};

/// Settings of a work_queue.
struct work_queue_options {
  std::size_t slots = 1;  ///< Requests that run concurrently.
  /// Work that is expected to miss its target is refused if it would wait for
  /// longer than this, so that it does not delay work that is in time.
  duration max_late_wait = std::chrono::milliseconds(50);
  /// Longest wait of accepted work. Without it, work that others precede waits
  /// until its deadline, although another backend server may have a free slot
  /// and the daemon of its caller may end earlier.
  duration max_wait = duration::max();
  /// Safety margin for varying run times, as a fraction of the expected time,
  /// in the check whether work meets its target.
  double time_margin = 0.25;
  /// Longest time between two calls of TakeExpired(). Work that could not start
  /// any more at the next call is returned by the current one, so that its
  /// caller learns that it has not run before it gives up.
  duration check_interval{0};
  /// Work of a class that has not started for this time runs on a free slot
  /// even if its expected run time ends after its deadline: the expectation is
  /// outdated, and only a run shows the present run time.
  duration run_time_lifetime = std::chrono::seconds(10);
};

/// Decision about offered work.
enum class queue_decision {
  kRun,     ///< Starts now.
  kWait,    ///< Is queued until Next() returns it.
  kRefuse,  ///< Is refused, as it cannot run in time.
};

/// Load of a backend server, as its daemon reports it to others.
struct work_load {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 0;
  duration mean_time{0};  ///< Mean time of a request on the backend server.
  /// Time that a large response waits for the network link.
  duration link_wait{0};
  /// How long work takes on the VM now, in percent of the usual time.
  std::optional<double> work_percent = std::nullopt;
};

/// Load of a backend server as one daemon tells it to another that has not
/// asked: what changes quickly, and how old it is.
struct load_summary {
  std::uint32_t member_hash = 0;  ///< Of the name of its daemon.
  std::size_t busy = 0;           ///< Running and waiting requests.
  double work_percent = 100;      ///< See work_load.
  duration age{0};

  bool operator==(const load_summary&) const = default;
};

/// Priority queue with admission control for one backend server. At most
/// `slots` requests run, the others wait.
///
/// Under overload, an unbounded queue makes every request late, and order of
/// arrival lets less urgent work delay the most urgent. So work that would end
/// after its deadline is refused on arrival, urgent work runs first, and work
/// that still meets its target runs before work that does not. A request ends
/// when its response was sent, which includes the wait for the network link.
///
/// Work that others precede is not moved ahead when it has waited long: each
/// move would make later work miss its target. It is returned instead, as not
/// run, as soon as it is expected to start too late.
class work_queue {
 public:
  explicit work_queue(work_queue_options options);

  /// Sets the number of slots, for example after a restart of the backend
  /// server. 0 counts as 1.
  void SetSlots(std::size_t slots);

  /// Decides whether `item` runs now, waits or is refused. Work that runs takes
  /// a slot until OnFinished().
  queue_decision Offer(const work_item& item, instant now);

  /// Starts the next waiting work and returns its id, or nothing if no slot is
  /// free or no work can be started. Work that has waited for `max_wait`, or
  /// can no longer meet its deadline, is not started: TakeExpired() returns it.
  std::optional<std::uint64_t> Next(instant now);

  /// Removes and returns waiting work that is expected to start after
  /// `max_wait` or to end after its deadline, by the estimate of Offer(). To be
  /// called before Next(), and regularly while work waits.
  std::vector<std::uint64_t> TakeExpired(instant now);

  /// Limits the deadline of waiting work. No effect if it is not queued.
  /// TakeExpired() has to be called afterwards.
  void LimitDeadline(std::uint64_t id, instant latest);

  /// Removes and returns all waiting work.
  std::vector<std::uint64_t> TakeAll();

  /// Removes waiting work whose caller has disconnected. No effect if it is not
  /// queued.
  void Remove(std::uint64_t id);

  /// Frees the slot of running work.
  /// @param run_time Time on the backend server; nothing if it was cancelled.
  void OnFinished(std::uint64_t id, std::optional<duration> run_time);

  /// Returns the mean run time of requests of `work_class`; 0 before the first
  /// one has finished.
  duration MeanRunTime(const std::string& work_class) const;

  work_load Load() const;

 private:
  // Order of the queue: priority, whether the target is missed, target,
  // sequence number. The earliest target goes first so that the short calls of
  // running requests precede new requests of the same priority.
  using order_key = std::tuple<int, bool, instant, std::uint64_t>;

  struct waiting_work {
    work_item item;
    instant start_by;  ///< End of `max_wait`.
  };

  struct running_work {
    std::string work_class;
    instant started_at;
  };

  static order_key MakeKey(const work_item& item, bool in_time,
                           std::uint64_t sequence);
  // Expected time until work with `key` starts, after all work that precedes
  // it.
  duration ExpectedWait(const order_key& key) const;
  // Start to expect of work that waits: at the earliest at the next check.
  instant ExpectedStart(duration wait, instant now) const;
  // Expected time until the slots have run work of `ahead_us` in total.
  duration WaitBehind(double ahead_us) const;
  // Run time of waiting work; that of all classes before the first of its own.
  double ExpectedRunTimeUs(const work_item& item) const;
  std::size_t FreeSlots() const;
  // Moves work that has missed its target behind the work that is in time.
  void DemoteLate(instant now);
  bool MeetsTarget(const work_item& item, instant start) const;
  // Time that the response waits for the network link after a run from `start`.
  duration LinkWait(const work_item& item, instant start) const;
  // When the response will have been sent if the request starts at `start`.
  instant EndTime(const work_item& item, instant start) const;
  // Whether `work` can keep its maximum wait and its deadline if it starts at
  // `start`.
  bool CanStart(const waiting_work& work, instant start) const;
  // Whether no work of the class has started for `run_time_lifetime`.
  bool IsRunTimeOutdated(const std::string& work_class, instant now) const;
  void Start(const work_item& item, instant now);

  work_queue_options options_;
  std::uint64_t next_sequence_ = 0;
  // Invariant: work that is here after TakeExpired(now) can still start at now
  // + `check_interval`, within its maximum wait and its deadline, by the mean
  // run time that is known then. Offer(), Next() and TakeExpired() decide by
  // CanStart().
  std::map<order_key, waiting_work> waiting_;
  std::unordered_map<std::uint64_t, order_key> keys_;
  std::unordered_map<std::uint64_t, running_work> running_;
  std::unordered_map<std::string, timed_average> class_run_time_us_;
  std::unordered_map<std::string, instant> class_started_at_;  ///< Last start.
  timed_average mean_run_time_us_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_WORK_QUEUE_H_
