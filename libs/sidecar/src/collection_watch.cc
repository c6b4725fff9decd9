#include "collection_watch.h"

#include <algorithm>

namespace pomelohall {

collection_watch::collection_watch(boost::asio::io_context& io,
                                   watched_store& store,
                                   collection_observer& observer,
                                   collection_watch_options options,
                                   std::uint64_t seed)
    : store_(store),
      observer_(observer),
      options_(options),
      pacer_(io, options.collection, options.backoff, seed) {}

void collection_watch::Refresh() {
  if (pacer_.Stopped()) return;
  pacer_.Cancel();
  // A stale replica may not have been restored yet.
  List(read_consistency::kLatest);
}

void collection_watch::List(read_consistency consistency) {
  answers_.End();
  store_.List(options_.collection, consistency,
              answers_.Bind([this](const result<object_listing>& listing) {
                if (!pacer_.Stopped()) OnListed(listing);
              }));
}

void collection_watch::OnListed(const result<object_listing>& listing) {
  if (!listing) {
    pacer_.RunAfter(pacer_.OnFailure(listing.error(), revision_), [this] {
      List(grace_end_ ? read_consistency::kLatest : options_.consistency);
    });
    return;
  }
  if (listing->revision.era < revision_.era) {
    // A replica with stale data has not been restored yet.
    pacer_.RunAfter(pacer_.OnHistoryLost(revision_),
                    [this] { List(read_consistency::kLatest); });
    return;
  }
  pacer_.OnListed();
  if (revision_.IsKnown() && listing->revision.era > revision_.era) {
    grace_end_ = MonotonicNow() + options_.restore_grace;
  }
  revision_ = listing->revision;
  if (grace_end_ && MonotonicNow() < *grace_end_) {
    observer_.OnRestored(*listing);
  } else {
    grace_end_.reset();
    observer_.OnListed(*listing);
  }
  Continue();
}

void collection_watch::Continue() {
  if (!grace_end_) {
    Watch(options_.wait);
    return;
  }
  const auto left = *grace_end_ - MonotonicNow();
  if (left.count() > 0) {
    Watch(std::min(options_.wait, left));
    return;
  }
  // A stale replica may lack records that have been written again.
  List(read_consistency::kLatest);
}

void collection_watch::Watch(duration wait) {
  const auto earliest_end = MonotonicNow() + wait / 2;
  answers_.End();
  store_.Watch(options_.collection, revision_, wait, options_.consistency,
               answers_.Bind(
                   [this, earliest_end](const result<object_changes>& changes) {
                     if (!pacer_.Stopped()) OnChanges(changes, earliest_end);
                   }));
}

void collection_watch::OnChanges(const result<object_changes>& changes,
                                 instant earliest_end) {
  if (!changes) {
    if (changes.error().kind == error_kind::kNotFound) {
      // A replica with stale data may list a revision whose history is lost.
      pacer_.RunAfter(pacer_.OnHistoryLost(revision_),
                      [this] { List(read_consistency::kLatest); });
    } else {
      pacer_.RunAfter(pacer_.OnFailure(changes.error(), revision_),
                      [this] { Continue(); });
    }
    return;
  }
  pacer_.OnWatched();
  // A stale replica may answer with a revision older than the listing.
  revision_ = std::max(revision_, changes->revision);
  for (const auto& change : changes->changes) observer_.OnChanged(change);
  duration pause = options_.pause_after_change;
  if (changes->changes.empty()) {
    const bool early = MonotonicNow() < earliest_end;
    pause = early ? options_.pause_after_early_end : duration(0);
  }
  pacer_.RunAfter(pause, [this] { Continue(); });
}

}  // namespace pomelohall
