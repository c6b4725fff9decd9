#ifndef POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_
#define POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/callback_scope.h"
#include "base/time.h"
#include "sidecar/watched_store.h"
#include "store_call_pacer.h"

namespace pomelohall {

// Receives the objects of a collection and their changes.
class collection_observer {
 public:
  virtual ~collection_observer() = default;
  // All stored objects; an object that is not listed no longer exists.
  virtual void OnListed(const object_listing& listing) = 0;
  // The objects right after the store was restored from an older copy. Objects
  // may be missing or old that are about to be written again.
  virtual void OnRestored(const object_listing& listing) = 0;
  virtual void OnChanged(const object_change& change) = 0;
};

struct collection_watch_options {
  store_collection collection = store_collection::kMembers;
  read_consistency consistency = read_consistency::kLatest;
  // Maximum duration of one watch call. A connection that went silent is only
  // detected after this time.
  duration wait = std::chrono::seconds(10);
  // Pause between a change and the next watch, so that a burst of changes
  // causes a few calls instead of one per change.
  duration pause_after_change{0};
  // Pause before the next watch if one ended early without changes. A store
  // replica with stale data may return immediately each time.
  duration pause_after_early_end = std::chrono::milliseconds(500);
  // Time after a restoration of the store in which the writers of lost objects
  // write them again. Objects that are still missing then are gone.
  duration restore_grace = std::chrono::seconds(2);
  store_backoff backoff = {};
};

// Keeps an observer up to date: lists a collection, then watches it. Lists
// again when the store no longer has the history for the watch.
class collection_watch {
 public:
  // All references must outlive the watch.
  collection_watch(boost::asio::io_context& io, watched_store& store,
                   collection_observer& observer,
                   collection_watch_options options, std::uint64_t seed);

  void Start() { List(options_.consistency); }
  void Stop() { pacer_.Stop(); }
  void SetPauseAfterChange(duration pause) {
    options_.pause_after_change = pause;
  }
  bool HasListed() const { return revision_.IsKnown(); }
  // Lists the latest data now: the store was restored.
  void Refresh();
  // Era of the last listing.
  std::uint64_t Era() const { return revision_.era; }

 private:
  // Watches, or lists if the grace after a restoration has ended.
  void Continue();
  void List(read_consistency consistency);
  void Watch(duration wait);
  void OnListed(const result<object_listing>& listing);
  void OnChanges(const result<object_changes>& changes, instant earliest_end);

  watched_store& store_;
  collection_observer& observer_;
  collection_watch_options options_;
  store_call_pacer pacer_;
  store_revision revision_;
  std::optional<instant> grace_end_;  // Set while a restoration is recent.
  callback_scope answers_;  // Answers to superseded calls are ignored.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_
