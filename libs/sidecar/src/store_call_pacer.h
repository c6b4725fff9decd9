#ifndef POMELOHALL_SIDECAR_SRC_STORE_CALL_PACER_H_
#define POMELOHALL_SIDECAR_SRC_STORE_CALL_PACER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/callback_scope.h"
#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

// Initial and maximum pause after a failed call.
struct store_backoff {
  duration initial = std::chrono::milliseconds(100);
  duration max = std::chrono::seconds(1);
};

// Timer, backoff and log lines of a loop of store reads.
class store_call_pacer {
 public:
  store_call_pacer(boost::asio::io_context& io, store_collection collection,
                   store_backoff backoff, std::uint64_t seed);

  // Runs `next` after a pause, immediately if it is 0. Replaces a call that is
  // still pending.
  void RunAfter(duration pause, std::function<void()> next);
  // Cancels the call that is pending, if any.
  void Cancel() {
    timer_.cancel();
    pauses_.End();
  }
  void Stop();
  bool Stopped() const { return stopped_; }

  // These return the pause before the next call. `revision` is the revision
  // that the loop has reached.
  duration OnFailure(const error& failure, store_revision revision);
  // Repeated losses are paused like failures: a replica with stale data may
  // reject every revision that it lists.
  duration OnHistoryLost(store_revision revision);

  void OnListed() { OnSuccess(); }
  void OnWatched();

 private:
  void OnSuccess();

  const store_collection collection_;
  const store_backoff backoff_;
  random_source random_;
  boost::asio::steady_timer timer_;
  std::size_t failures_ = 0;
  std::size_t history_losses_ = 0;  // Since the last successful watch.
  bool stopped_ = false;
  callback_scope pauses_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_STORE_CALL_PACER_H_
