#include "collection_watch.h"

#include <algorithm>

#include "base/backoff.h"
#include "logging/log_event.h"

namespace pomelohall {

collection_watch::collection_watch(boost::asio::io_context& io,
                                   watched_store& store,
                                   collection_observer& observer,
                                   collection_watch_options options,
                                   std::uint64_t seed)
    : store_(store),
      observer_(observer),
      options_(std::move(options)),
      random_(seed),
      timer_(io) {}

void collection_watch::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void collection_watch::List() {
  listed_ = false;
  list_scheduled_ = false;
  store_.List(options_.collection, options_.mode().consistency,
              [this](const result<object_listing>& listing) {
                if (!stopped_) OnListed(listing);
              });
}

void collection_watch::OnListed(const result<object_listing>& listing) {
  if (!listing) {
    OnFailure(listing.error());
    return;
  }
  OnSuccess();
  listed_ = true;
  revision_ = listing->revision;
  const auto newest = newest_object_;
  for (const auto& object : listing->objects) {
    newest_object_ = std::max(newest_object_, object.revision);
  }
  observer_.OnListed(listing->objects);
  if (options_.list_after_change && newest > 0 && newest_object_ > newest) {
    ScheduleList();
  } else {
    Watch();
  }
}

void collection_watch::ScheduleList() {
  list_scheduled_ = true;
  RunAfter(options_.pause_after_change, &collection_watch::List);
}

void collection_watch::PostponeList() {
  if (list_scheduled_ &&
      options_.mode().consistency == read_consistency::kMayBeStale) {
    ScheduleList();
  }
}

void collection_watch::Refresh() {
  if (refreshing_ || !listed_ || stopped_) return;
  refreshing_ = true;
  store_.List(options_.collection, read_consistency::kLatest,
              [this](const result<object_listing>& listing) {
                refreshing_ = false;
                if (stopped_) return;
                if (!listing) {
                  log_event(log_level::kInfo, "refresh_failed")
                      .With("reason", listing.error().message);
                  return;
                }
                // The watch continues from its own revision. Changes that it
                // reports again have no effect.
                observer_.OnListed(listing->objects);
              });
}

void collection_watch::Watch() {
  const auto mode = options_.mode();
  const auto earliest_end = MonotonicNow() + mode.wait / 2;
  store_.Watch(options_.collection, revision_, mode.wait, mode.consistency,
               [this, earliest_end](const result<object_changes>& changes) {
                 if (!stopped_) OnChanges(changes, earliest_end);
               });
}

void collection_watch::OnChanges(const result<object_changes>& changes,
                                 instant earliest_end) {
  if (!changes) {
    if (changes.error().kind == error_kind::kNotFound) {
      log_event(log_level::kInfo, "store_history_lost")
          .With("collection", kStoreCollectionNames.Name(options_.collection))
          .With("revision", revision_);
      List();
      return;
    }
    OnFailure(changes.error());
    return;
  }
  OnSuccess();
  // A stale replica may answer with a revision older than the listing.
  revision_ = std::max(revision_, changes->revision);
  for (const auto& change : changes->changes) {
    newest_object_ = std::max(newest_object_, change.object.revision);
    observer_.OnChanged(change);
  }
  if (changes->changes.empty()) {
    const bool early = MonotonicNow() < earliest_end;
    RunAfter(early ? options_.pause_after_early_end : duration(0),
             &collection_watch::Watch);
  } else if (options_.list_after_change) {
    ScheduleList();
  } else {
    RunAfter(options_.pause_after_change, &collection_watch::Watch);
  }
}

void collection_watch::OnFailure(const error& failure) {
  if (failures_ == 0) {
    log_event(log_level::kWarning, "dependency_lost")
        .With("dependency", "store")
        .With("collection", kStoreCollectionNames.Name(options_.collection))
        .With("revision", revision_)
        .With("reason", failure.message);
  }
  const auto pause = JitteredBackoff(
      options_.retry_pause, options_.max_retry_pause, failures_++, random_);
  RunAfter(pause, listed_ ? &collection_watch::Watch : &collection_watch::List);
}

void collection_watch::OnSuccess() {
  if (failures_ > 0) {
    log_event(log_level::kInfo, "dependency_regained")
        .With("dependency", "store")
        .With("collection", kStoreCollectionNames.Name(options_.collection))
        .With("failures", static_cast<std::uint64_t>(failures_));
  }
  failures_ = 0;
}

void collection_watch::RunAfter(duration pause,
                                void (collection_watch::*next)()) {
  if (pause.count() == 0) {
    (this->*next)();
    return;
  }
  timer_.expires_after(pause);
  timer_.async_wait([this, next](boost::system::error_code cancelled) {
    if (!cancelled && !stopped_) (this->*next)();
  });
}

}  // namespace pomelohall
