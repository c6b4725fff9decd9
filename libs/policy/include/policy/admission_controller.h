#ifndef POMELOHALL_POLICY_ADMISSION_CONTROLLER_H_
#define POMELOHALL_POLICY_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "model/configuration.h"
#include "policy/admission_queue.h"
#include "policy/concurrency_limit.h"

namespace pomelohall {

/// Settings of an admission_controller.
struct admission_options {
  concurrency_limit_options limit;
  std::size_t max_queued_per_class = 100;
  std::size_t max_queued = 200;
  /// Share of the concurrency limit that downloads may occupy, so that a
  /// transaction never has to wait for a download to finish.
  double download_share = 0.75;
  /// Relative shares of slot time under load (weighted fair queueing).
  double transaction_weight = 32;
  double lookup_weight = 8;
  double download_weight = 1;
  /// Queued requests are still started for this long after draining began; the
  /// remaining ones are then refused. Must be below the 3 s in which a draining
  /// server still receives its last requests.
  duration drain_grace{2'000'000};
  /// Longest time an exclusive request waits for the requests in flight, for
  /// example long downloads. It blocks all other requests meanwhile.
  duration exclusive_wait_timeout{1'000'000};
  /// After such a wait timed out, exclusive requests are refused for this long
  /// while other requests run, so that they block the server for at most a
  /// tenth of the time.
  duration exclusive_backoff{10'000'000};
};

/// Decision of the owner daemon about a request.
struct admission_decision {
  request_id id = 0;
  /// Empty: start the request now. Otherwise the request did not run.
  std::optional<error> refused;
};

/// Admission control of the owner daemon: decides when a request is sent to the
/// backend server. Each submitted request gets exactly one decision, unless it
/// is cancelled first. Not thread-safe.
///
/// Every function returns the decisions that became due, which may concern
/// requests other than the one passed.
class admission_controller {
 public:
  explicit admission_controller(admission_options options = {});

  /// Submits a request. `request.id` must not be in use.
  std::vector<admission_decision> Submit(const admission_request& request,
                                         instant now);

  /// Completes a started request.
  /// @param latency Time from its start to the end of the response.
  /// @param ok Whether the complete response arrived.
  std::vector<admission_decision> Finish(request_id id, duration latency,
                                         bool ok, instant now);

  /// Removes a queued request, or frees the slot of a started one without
  /// recording its latency. Unknown ids are ignored.
  std::vector<admission_decision> Cancel(request_id id, instant now);

  /// Starts queued requests. Refuses those that cannot meet their deadline, and
  /// all of them once draining has lasted `drain_grace`. Must be called at
  /// least every 100 ms while Queued() > 0.
  std::vector<admission_decision> Tick(instant now);

  /// Sets the number of slots of the backend server. A change from 0 begins a
  /// slow start. 0 means that there is no backend server: the queue is refused
  /// at the next Tick().
  void SetSlots(std::uint32_t slots, instant now);

  /// While draining, new requests are refused with `kDraining`.
  void SetDraining(bool draining);

  /// Returns the number of started requests.
  std::size_t InFlight() const { return running_.size(); }

  /// Returns the number of queued requests.
  std::size_t Queued() const { return queued_.size(); }

  /// Returns the current concurrency limit.
  std::uint32_t Limit() const { return limit_.Limit(); }

 private:
  using decisions = std::vector<admission_decision>;

  struct class_state {
    class_kind kind = class_kind::kLookup;
    admission_queue queue;
    class_latency latency;
    /// Slot time used, divided by the weight. The class with the lowest value
    /// is served next.
    double virtual_time = 0;
    std::size_t running = 0;
  };

  struct running_request {
    class_state* work_class = nullptr;
    double charged_us = 0;
    bool exclusive = false;
  };

  struct queued_request {
    /// Null: queued for exclusive execution.
    class_state* work_class = nullptr;
    instant deadline;
  };

  class_state& ClassOf(const admission_request& request);
  double WeightOf(class_kind kind) const;
  std::optional<error> RefusalFor(const admission_request& request,
                                  instant now) const;
  void Enqueue(const admission_request& request, decisions& out);
  bool CanStartImmediately(const admission_request& request) const;
  /// Sheds a queued request of a class earlier in the shed order to make room
  /// for `request`. Refuses `request` and returns false if there is none.
  bool ShedFor(const admission_request& request, decisions& out);
  void RefuseQueued(admission_queue& queue, request_id id, error reason,
                    decisions& out);
  void RefuseAll(const error& reason, decisions& out);
  void RefuseExpired(instant now, decisions& out);
  void RefuseExpiredIn(admission_queue& queue, duration needed, instant now,
                       decisions& out);
  void RefuseIfUnavailable(instant now, decisions& out);
  void ExpireExclusive(instant now, decisions& out);
  void StartQueued(decisions& out);
  bool StartExclusive(decisions& out);
  bool StartNext(decisions& out);
  void Start(const admission_request& request, class_state& state,
             decisions& out);
  class_state* NextClass();
  bool DownloadsFull() const;
  void ReleaseSlot(request_id id, std::optional<duration> latency, bool ok,
                   instant now);
  void EvictIdleClasses();
  decisions Dispatch(instant now, decisions out);

  admission_options options_;
  concurrency_limit limit_;
  std::map<std::string, class_state, std::less<>> classes_;
  admission_queue exclusive_queue_;
  std::unordered_map<request_id, queued_request> queued_;
  std::unordered_map<request_id, running_request> running_;
  std::size_t downloads_running_ = 0;
  bool exclusive_running_ = false;
  /// Number of other requests to start before the next exclusive one.
  std::size_t starts_before_exclusive_ = 0;
  /// Since when an exclusive request has blocked the queue while it waits for
  /// the requests in flight.
  std::optional<instant> blocked_since_;
  instant exclusive_refused_until_{};
  double virtual_time_ = 0;
  bool draining_ = false;
  std::optional<instant> draining_since_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_ADMISSION_CONTROLLER_H_
