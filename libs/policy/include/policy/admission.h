#ifndef POMELOHALL_POLICY_ADMISSION_H_
#define POMELOHALL_POLICY_ADMISSION_H_

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

/// Settings of an admission.
struct admission_options {
  concurrency_limit_options limit;
  std::size_t max_queued_per_class = 100;
  std::size_t max_queued = 200;
  /// Share of the limit that downloads may hold, so that a transaction never
  /// waits for all slots to finish a download.
  double download_share = 0.75;
  /// Shares of slot time under load.
  double transaction_weight = 32;
  double lookup_weight = 8;
  double download_weight = 1;
  /// Queued requests still start for this long after draining began; the rest
  /// is then refused. Below the 3 s in which a leaving server gets its last
  /// work.
  duration drain_grace{2'000'000};
  /// A request that runs alone waits at most this long for those in flight, for
  /// example long downloads, while it holds up all others.
  duration alone_patience{1'000'000};
  /// After a wait in vain, such requests are refused for this long while others
  /// run, so that they hold up the server for a tenth of the time at most.
  duration alone_pause{10'000'000};
};

/// What the owner decided about a request.
struct admission_decision {
  ticket id = 0;
  /// Empty: start it now. Otherwise the request did not run.
  std::optional<error> refused;
};

/// Decides at the owner daemon when a request is sent to its backend server.
/// Every submitted ticket is decided exactly once, unless it is cancelled
/// before. Not thread-safe.
///
/// Every function returns the decisions that became due, which may concern
/// other tickets than the one passed.
class admission {
 public:
  explicit admission(admission_options options = {});

  /// Hands in a request. `request.id` must not be in use.
  std::vector<admission_decision> Submit(const admission_request& request,
                                         instant now);

  /// Ends a started request.
  /// @param latency From its start to the end of its answer.
  /// @param ok A whole answer arrived.
  std::vector<admission_decision> Finish(ticket id, duration latency, bool ok,
                                         instant now);

  /// Forgets a queued request, or frees the slot of a started one without
  /// learning from it. Unknown tickets are ignored.
  std::vector<admission_decision> Cancel(ticket id, instant now);

  /// Answers deadlines and draining. Call it at least every 100 ms while
  /// Queued() > 0.
  std::vector<admission_decision> Tick(instant now);

  /// Sets the slots of the backend server. A change from 0 begins a slow start;
  /// 0 means that there is no backend server, and the queue is refused at the
  /// next Tick().
  void SetSlots(std::uint32_t slots, instant now);

  /// While draining, new requests are refused with `kDraining`.
  void SetDraining(bool draining);

  /// Returns the number of started requests.
  std::size_t InFlight() const { return running_.size(); }

  /// Returns the number of requests that wait.
  std::size_t Queued() const { return queued_.size(); }

  /// Returns how many requests may run at once at present.
  std::uint32_t Limit() const { return limit_.Limit(); }

 private:
  using decisions = std::vector<admission_decision>;

  struct class_state {
    class_kind kind = class_kind::kLookup;
    admission_queue queue;
    class_latency latency;
    /// Slot time used, divided by the weight; lowest is served first.
    double virtual_time = 0;
    std::size_t running = 0;
  };

  struct running_request {
    class_state* work_class = nullptr;
    double charged_us = 0;
    bool alone = false;
  };

  struct queued_request {
    class_state* work_class = nullptr;  ///< Null: waits to run alone.
    instant deadline;
  };

  class_state& ClassOf(const admission_request& request);
  double WeightOf(class_kind kind) const;
  std::optional<error> RefusalFor(const admission_request& request,
                                  instant now) const;
  void Enqueue(const admission_request& request, decisions& out);
  bool MayStartAtOnce(const admission_request& request) const;
  bool ShedFor(const admission_request& request, decisions& out);
  void RefuseQueued(admission_queue& queue, ticket id, error reason,
                    decisions& out);
  void RefuseAll(const error& reason, decisions& out);
  void AnswerDeadlines(instant now, decisions& out);
  void AnswerDeadlinesOf(admission_queue& queue, duration needed, instant now,
                         decisions& out);
  void AnswerDraining(instant now, decisions& out);
  void AnswerAlone(instant now, decisions& out);
  void StartReady(decisions& out);
  bool StartAlone(decisions& out);
  bool StartNext(decisions& out);
  void Start(const admission_request& request, class_state& state,
             decisions& out);
  class_state* NextClass();
  bool DownloadsFull() const;
  void Settle(ticket id, std::optional<duration> latency, bool ok, instant now);
  void DropIdleClasses();
  decisions Run(instant now, decisions out);

  admission_options options_;
  concurrency_limit limit_;
  std::map<std::string, class_state, std::less<>> classes_;
  admission_queue alone_;
  std::unordered_map<ticket, queued_request> queued_;
  std::unordered_map<ticket, running_request> running_;
  std::size_t downloads_running_ = 0;
  bool alone_running_ = false;
  /// Other requests to start before the next one that runs alone.
  std::size_t starts_before_alone_ = 0;
  /// Since when the others wait for the requests in flight to end.
  std::optional<instant> blocked_since_;
  instant alone_refused_until_{};
  double virtual_time_ = 0;
  bool draining_ = false;
  std::optional<instant> draining_since_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_ADMISSION_H_
