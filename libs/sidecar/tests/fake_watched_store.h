#ifndef POMELOHALL_SIDECAR_TESTS_FAKE_WATCHED_STORE_H_
#define POMELOHALL_SIDECAR_TESTS_FAKE_WATCHED_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sidecar/watched_store.h"

namespace pomelohall {

/// In-memory store with fault injection. A watch returns immediately if there
/// is a change, otherwise on the next change, after its wait or on
/// EndWatches().
class fake_watched_store final : public watched_store {
 public:
  explicit fake_watched_store(boost::asio::io_context& io) : io_(io) {}

  /// Calls fail as if the store were unreachable.
  bool down = false;
  /// Writes take effect, but their answers are lost.
  bool lose_answers = false;
  /// The next watch fails because the history is no longer available.
  bool history_expired = false;
  /// Watches from an earlier revision fail for the same reason.
  store_revision history_start = {};
  /// Revision that listings return that may be stale; the latest one if not
  /// known.
  store_revision stale_revision = {};
  /// Waiting watches hear of no change and fail some time after their wait.
  bool silent_watches = false;
  /// Watches return immediately without changes, like those of a stale replica.
  bool end_watches_at_once = false;
  /// Time after the wait until a silent watch fails.
  duration watch_timeout_margin = std::chrono::milliseconds(60);
  int lists = 0;
  int latest_lists = 0;  ///< Of `lists`, those of the latest data.
  int watches = 0;
  int writes = 0;

  /// Writes an object on behalf of an operator or another daemon.
  void Put(store_collection collection, const std::string& name,
           const std::string& spec, const std::string& status = "") {
    ++revision_.number;
    const auto created = objects_[collection].contains(name)
                             ? objects_[collection][name].created
                             : revision_.number;
    objects_[collection][name] = {.name = name,
                                  .revision = revision_,
                                  .spec = spec,
                                  .status = status,
                                  .created = created};
    Record(collection, name, false);
  }

  std::string SpecOf(store_collection collection, const std::string& name) {
    const auto found = objects_[collection].find(name);
    return found == objects_[collection].end() ? "" : found->second.spec;
  }

  /// Copies the present state for Restore().
  void TakeCopy() { copy_ = {revision_, objects_, history_}; }
  /// Replaces the state by the copy; the revisions since are given out again.
  void Restore() {
    const auto era = revision_.era + 1;
    std::tie(revision_, objects_, history_) = copy_;
    revision_.era = era;
    for (auto& [collection, objects] : objects_) {
      for (auto& [name, object] : objects) object.revision.era = era;
    }
    for (auto& entry : history_) entry.change.object.revision.era = era;
    EndWatches();
  }

  void EndWatches() {
    for (auto& waiting : std::exchange(waiting_, {})) {
      waiting.timer->cancel();
      waiting.answer();
    }
  }

  void List(store_collection collection, read_consistency consistency,
            list_callback done) override {
    ++lists;
    if (consistency == read_consistency::kLatest) ++latest_lists;
    object_listing listing{.objects = {}, .revision = revision_};
    if (consistency == read_consistency::kMayBeStale &&
        stale_revision.IsKnown()) {
      listing.revision = stale_revision;
    }
    for (const auto& [name, object] : objects_[collection]) {
      listing.objects.push_back(object);
    }
    Answer(std::move(done), std::move(listing));
  }

  void Watch(store_collection collection, store_revision revision,
             duration wait, read_consistency, watch_callback done) override {
    ++watches;
    if (std::exchange(history_expired, false) || revision < history_start ||
        revision.era != revision_.era || revision > revision_) {
      AnswerHistoryLost(done);
      return;
    }
    const auto answer = [this, collection, revision, done] {
      if (revision.era == revision_.era) {
        Answer(done, ChangesAfter(collection, revision));
      } else {
        AnswerHistoryLost(done);
      }
    };
    if (down || end_watches_at_once ||
        !ChangesAfter(collection, revision).changes.empty()) {
      answer();
    } else {
      Wait(wait, answer, done);
    }
  }

  void Get(store_collection collection, const std::string& name,
           object_callback done) override {
    const auto found = objects_[collection].find(name);
    if (found == objects_[collection].end()) {
      AnswerError(std::move(done), error_kind::kNotFound);
    } else {
      Answer(std::move(done), found->second);
    }
  }

  void Create(store_collection collection, const watched_object& object,
              object_callback done) override {
    Write(collection, object, objects_[collection].contains(object.name),
          std::move(done));
  }

  void Replace(store_collection collection, const watched_object& object,
               object_callback done) override {
    const auto found = objects_[collection].find(object.name);
    const bool same = found != objects_[collection].end() &&
                      found->second.revision == object.revision;
    Write(collection, object, !same, std::move(done));
  }

  void ReplaceStatus(store_collection collection, const watched_object& object,
                     object_callback done) override {
    const auto found = objects_[collection].find(object.name);
    const bool exists = found != objects_[collection].end();
    const bool same = exists && found->second.revision == object.revision;
    auto replaced = object;
    if (exists) replaced.spec = found->second.spec;
    Write(collection, replaced, !same, std::move(done));
  }

  void Remove(store_collection, const watched_object&,
              std::function<void(result<void>)> done) override {
    boost::asio::post(io_, [done] { done({}); });
  }

 private:
  struct change_record {
    store_collection collection;
    object_change change;
  };
  struct waiting_watch {
    std::function<void()> answer;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Wait(duration wait, std::function<void()> answer, watch_callback done) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(wait);
    timer->async_wait([this, timer, answer, done = std::move(done)](
                          boost::system::error_code cancelled) {
      if (cancelled) return;
      std::erase_if(waiting_, [&](const auto& waiting) {
        return waiting.timer == timer;
      });
      if (!silent_watches) {
        answer();
        return;
      }
      timer->expires_after(watch_timeout_margin);
      timer->async_wait([timer, done](boost::system::error_code) {
        done(Fail(error_kind::kPlatformUnavailable, "timed out"));
      });
    });
    waiting_.push_back({std::move(answer), timer});
  }

  template <typename T>
  void Answer(std::function<void(result<T>)> done, T value) {
    boost::asio::post(io_, [this, failed = down, done = std::move(done),
                            value = std::move(value)]() mutable {
      if (failed) {
        done(Fail(error_kind::kPlatformUnavailable, "the store is down"));
      } else {
        done(std::move(value));
      }
    });
  }

  void AnswerHistoryLost(watch_callback done) {
    boost::asio::post(io_, [done = std::move(done)] {
      done(Fail(error_kind::kNotFound, "the history is no longer available"));
    });
  }

  void AnswerError(object_callback done, error_kind kind) {
    const auto reported_kind = down ? error_kind::kPlatformUnavailable : kind;
    boost::asio::post(io_, [done = std::move(done), reported_kind] {
      done(Fail(reported_kind, "refused"));
    });
  }

  void Write(store_collection collection, const watched_object& object,
             bool conflict, object_callback done) {
    ++writes;
    if (down || conflict) {
      AnswerError(std::move(done), error_kind::kConflict);
      return;
    }
    Put(collection, object.name, object.spec, object.status);
    if (lose_answers) {
      boost::asio::post(io_, [done = std::move(done)] {
        done(Fail(error_kind::kPlatformUnavailable, "no answer"));
      });
    } else {
      Answer(std::move(done), objects_[collection][object.name]);
    }
  }

  object_changes ChangesAfter(store_collection collection,
                              store_revision revision) const {
    object_changes changes{.changes = {}, .revision = revision_};
    for (const auto& entry : history_) {
      if (entry.collection == collection &&
          entry.change.object.revision > revision) {
        changes.changes.push_back(entry.change);
      }
    }
    return changes;
  }

  void Record(store_collection collection, const std::string& name,
              bool deleted) {
    history_.push_back({collection, {objects_[collection][name], deleted}});
    if (!silent_watches) EndWatches();
  }

  boost::asio::io_context& io_;
  store_revision revision_{.era = 1, .number = 10};
  std::map<store_collection, std::map<std::string, watched_object>> objects_;
  std::vector<change_record> history_;
  std::vector<waiting_watch> waiting_;
  std::tuple<store_revision, decltype(objects_), decltype(history_)> copy_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_TESTS_FAKE_WATCHED_STORE_H_
