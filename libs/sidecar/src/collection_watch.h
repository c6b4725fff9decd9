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

// Receives the objects of a collection.
class collection_observer {
 public:
  virtual ~collection_observer() = default;
  // Everything that is stored; what is not listed is gone.
  virtual void OnListed(const std::vector<watched_object>& objects) = 0;
  virtual void OnChanged(const object_change& change) = 0;
};

// How a watch reads, which may change between two calls.
struct watch_mode {
  read_freshness freshness = read_freshness::kLatest;
  // Longest wait of one call. A call whose connection went silent is noticed
  // after it.
  duration wait = std::chrono::seconds(10);
};

struct collection_watch_options {
  store_collection collection = store_collection::kConfiguration;
  // Called before each call.
  std::function<watch_mode()> mode;
  // Pause before the next watch after a change, so that a run of changes costs
  // a few calls and not one each.
  duration pause_after_change{0};
  // Lists after that pause, until a listing shows nothing new, instead of
  // watching on: a watch shows each change with its whole object, and a listing
  // only the last one. For collections with few and large objects.
  bool list_after_change = false;
  // Pause before the next watch if one ended without changes before its time:
  // a store that answers from old data may do so at once, each time.
  duration pause_after_early_end = std::chrono::milliseconds(500);
  // First and longest pause after a failed call.
  duration retry_pause = std::chrono::milliseconds(100);
  duration max_retry_pause = std::chrono::seconds(1);
};

// Keeps an observer up to date: lists a collection, then watches it. Lists
// again when the store no longer has the history.
class collection_watch {
 public:
  // All references must outlive the watch.
  collection_watch(boost::asio::io_context& io, watched_store& store,
                   collection_observer& observer,
                   collection_watch_options options, std::uint64_t seed);

  void Start() { List(); }
  // Lists the latest state now, because the present one is known to be old.
  // Without effect while a listing is in progress.
  void Refresh();
  // The observer learned a newer state elsewhere: a listing after a change that
  // waits for its pause waits anew. Without effect on reads of the latest
  // state, which others rely on.
  void Postpone();
  void Stop();

 private:
  void List();
  void Watch();
  void OnListed(const result<object_listing>& listing);
  void OnChanges(const result<object_changes>& changes, instant earliest_end);
  void ListLater();
  void OnFailure(const error& failure);
  void OnSuccess();
  void After(duration pause, void (collection_watch::*next)());

  watched_store& store_;
  collection_observer& observer_;
  const collection_watch_options options_;
  random_source random_;
  boost::asio::steady_timer timer_;
  std::uint64_t revision_ = 0;
  std::size_t failures_ = 0;
  std::uint64_t newest_object_ = 0;  // Highest revision of an object seen.
  bool listed_ = false;
  bool pausing_ = false;  // A listing after a change waits.
  bool refreshing_ = false;
  bool stopped_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_COLLECTION_WATCH_H_
