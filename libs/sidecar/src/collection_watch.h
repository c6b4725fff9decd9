#ifndef POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_
#define POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

// Receives the objects of a collection and their changes.
class collection_observer {
 public:
  virtual ~collection_observer() = default;
  // All stored objects; an object that is not listed no longer exists.
  virtual void OnListed(const std::vector<watched_object>& objects) = 0;
  virtual void OnChanged(const object_change& change) = 0;
};

// Parameters of store reads, which may change between two calls.
struct watch_mode {
  read_consistency consistency = read_consistency::kLatest;
  // Maximum duration of one watch call. A connection that went silent is only
  // detected after this time.
  duration wait = std::chrono::seconds(10);
};

struct collection_watch_options {
  store_collection collection = store_collection::kConfiguration;
  // Returns the mode for the next call.
  std::function<watch_mode()> mode;
  // Pause between a change and the next watch, so that a burst of changes
  // causes a few calls instead of one per change.
  duration pause_after_change{0};
  // Whether a change is followed by listings, each after `pause_after_change`,
  // until one shows no change; only then the watch continues. A watch returns
  // the whole object with every change, a listing only its latest state. For
  // collections with few, large objects.
  bool list_after_change = false;
  // Pause before the next watch if one ended early without changes. A store
  // replica with stale data may return immediately each time.
  duration pause_after_early_end = std::chrono::milliseconds(500);
  // Initial and maximum pause after a failed call.
  duration retry_pause = std::chrono::milliseconds(100);
  duration max_retry_pause = std::chrono::seconds(1);
};

// Keeps an observer up to date: lists a collection, then watches it. Lists
// again when the store no longer has the history for the watch.
class collection_watch {
 public:
  // All references must outlive the watch.
  collection_watch(boost::asio::io_context& io, watched_store& store,
                   collection_observer& observer,
                   collection_watch_options options, std::uint64_t seed);

  void Start() { List(); }
  // Lists the latest state immediately because the known state is outdated. No
  // effect while a listing is in progress.
  void Refresh();
  // Restarts the pause of a scheduled listing, because the observer learned a
  // newer state from another source. No effect on kLatest reads: other daemons
  // depend on them.
  void PostponeList();
  void Stop();

 private:
  void List();
  void Watch();
  void OnListed(const result<object_listing>& listing);
  void OnChanges(const result<object_changes>& changes, instant earliest_end);
  void ScheduleList();
  void OnFailure(const error& failure);
  void OnSuccess();
  void RunAfter(duration pause, void (collection_watch::*next)());

  watched_store& store_;
  collection_observer& observer_;
  const collection_watch_options options_;
  random_source random_;
  boost::asio::steady_timer timer_;
  std::uint64_t revision_ = 0;
  std::size_t failures_ = 0;
  std::uint64_t newest_object_ = 0;  // Highest object revision seen.
  bool listed_ = false;
  bool list_scheduled_ = false;  // A listing is scheduled after a change.
  bool refreshing_ = false;
  bool stopped_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_
