#include "store_call_pacer.h"

#include <utility>

#include "base/backoff.h"
#include "logging/log_event.h"

namespace pomelohall {

store_call_pacer::store_call_pacer(boost::asio::io_context& io,
                                   store_collection collection,
                                   store_backoff backoff, std::uint64_t seed)
    : collection_(collection), backoff_(backoff), random_(seed), timer_(io) {}

void store_call_pacer::RunAfter(duration pause, std::function<void()> next) {
  timer_.cancel();
  pauses_.End();
  if (pause.count() == 0) {
    next();
    return;
  }
  timer_.expires_after(pause);
  timer_.async_wait(pauses_.Bind(
      [this, next = std::move(next)](boost::system::error_code cancelled) {
        if (!cancelled && !stopped_) next();
      }));
}

void store_call_pacer::Stop() {
  stopped_ = true;
  Cancel();
}

duration store_call_pacer::OnFailure(const error& failure,
                                     store_revision revision) {
  if (failures_ == 0) {
    log_event(log_level::kWarning, "dependency_lost")
        .With("dependency", "store")
        .With("collection", kStoreCollectionNames.Name(collection_))
        .With("era", revision.era)
        .With("revision", revision.number)
        .With("reason", failure.message);
  }
  return JitteredBackoff(backoff_.initial, backoff_.max, failures_++, random_);
}

duration store_call_pacer::OnHistoryLost(store_revision revision) {
  log_event(log_level::kInfo, "store_history_lost")
      .With("collection", kStoreCollectionNames.Name(collection_))
      .With("era", revision.era)
      .With("revision", revision.number);
  const auto previous_losses = history_losses_++;
  if (previous_losses == 0) return duration(0);
  return JitteredBackoff(backoff_.initial, backoff_.max, previous_losses - 1,
                         random_);
}

void store_call_pacer::OnWatched() {
  history_losses_ = 0;
  OnSuccess();
}

void store_call_pacer::OnSuccess() {
  if (failures_ > 0) {
    log_event(log_level::kInfo, "dependency_regained")
        .With("dependency", "store")
        .With("collection", kStoreCollectionNames.Name(collection_))
        .With("failures", static_cast<std::uint64_t>(failures_));
  }
  failures_ = 0;
}

}  // namespace pomelohall
