#include "config_reader.h"

#include <algorithm>
#include <utility>

#include "logging/log_event.h"

namespace pomelohall {
namespace {

// Checks for the end of a fetch per maximum age of a confirmation.
constexpr int kFetchChecks = 8;
// Factor of the pause after repeated failures of daemons that are not
// designated. During an outage, every call of every daemon fails and is charged
// all the same. The designated daemons notice its end and tell the others.
constexpr int kOtherDaemonsPause = 4;
// Number of asks with pauses of that part of the maximum age of a confirmation.
// With answers at once, a daemon asks five times within the bound on
// configuration: if the store turns away half of all, one of five has read it
// with a probability of 97%. Later pauses are the maximum age, as an outage of
// the store for all lasts longer.
constexpr int kQuickAsks = 4;

}  // namespace

config_reader::config_reader(boost::asio::io_context& io, watched_store& store,
                             active_config& config,
                             config_reader_options options, std::uint64_t seed)
    : store_(store),
      config_(config),
      options_(std::move(options)),
      random_(seed),
      pacer_(io, store_collection::kConfiguration, options_.backoff, seed),
      ask_timer_(io) {}

void config_reader::Start() {
  List();
  // Without a bound on the age nothing is asked.
  if (options_.max_age.count() > 0) AskPeers();
}

void config_reader::Stop() {
  pacer_.Stop();
  ask_timer_.cancel();
  ask_timeouts_.End();
}

void config_reader::AskPeers() {
  const auto age = Age();
  auto pause = options_.ask_age - age;
  // While the first read is under way, there is nothing to confirm.
  const bool is_starting =
      !confirmation_.revision.IsKnown() && failed_reads_ == 0;
  if (is_starting) {
    pause = options_.ask_age;
  } else if (age < options_.ask_age) {
    asks_ = 0;
  } else if (options_.is_fetching()) {
    pause = AskPause();
  } else {
    options_.ask_peer(asks_++);
    pause = AskPause();
  }
  ask_timer_.expires_after(pause);
  ask_timer_.async_wait(
      ask_timeouts_.Bind([this](boost::system::error_code cancelled) {
        if (!cancelled) AskPeers();
      }));
}

duration config_reader::AskPause() const {
  return asks_ <= std::size_t{kQuickAsks} ? options_.max_age / kQuickAsks
                                          : options_.max_age;
}

void config_reader::Refresh() {
  if (listing_ || pacer_.Stopped()) return;
  pacer_.Cancel();
  List();
}

void config_reader::OnConfirmed(const config_confirmation& confirmation) {
  const auto known = confirmation_.revision;
  confirmation_.revision = std::max(known, confirmation.revision);
  if (known.IsKnown() && confirmation_.revision.era > known.era) {
    log_event(log_level::kWarning, "store_restored")
        .With("era", confirmation_.revision.era)
        .With("previous_era", known.era)
        .With("version", config_.Version());
    if (options_.on_restored) options_.on_restored();
  }
  confirmation_.at = std::max(confirmation_.at, confirmation.at);
}

void config_reader::OnSuspended(duration time) {
  confirmation_.at -= time;
  Refresh();
}

void config_reader::List() {
  listing_ = true;
  answers_.End();
  store_.List(store_collection::kConfiguration, read_consistency::kLatest,
              answers_.Bind([this, sent_at = MonotonicNow()](
                                const result<object_listing>& listing) {
                if (!pacer_.Stopped()) OnListed(listing, sent_at);
              }));
}

void config_reader::OnListed(const result<object_listing>& listing,
                             instant sent_at) {
  listing_ = false;
  if (!listing) {
    OnFailure(listing.error());
    return;
  }
  pacer_.OnListed();
  failed_reads_ = 0;
  const auto version = config_.Version();
  config_.OnListed(listing->objects);
  OnConfirmed({.revision = listing->revision, .at = sent_at});
  Continue(version > 0 && config_.Version() > version);
}

void config_reader::Watch(duration wait) {
  const auto revision = std::max(confirmation_.revision, config_.Revision());
  answers_.End();
  store_.Watch(store_collection::kConfiguration, revision, wait,
               read_consistency::kLatest,
               answers_.Bind([this, sent_at = MonotonicNow(),
                              wait](const result<object_changes>& changes) {
                 if (!pacer_.Stopped()) OnChanges(changes, sent_at, wait);
               }));
}

void config_reader::OnChanges(const result<object_changes>& changes,
                              instant sent_at, duration wait) {
  if (!changes) {
    if (changes.error().kind == error_kind::kNotFound) {
      pacer_.RunAfter(pacer_.OnHistoryLost(confirmation_.revision),
                      [this] { List(); });
    } else {
      OnFailure(changes.error());
    }
    return;
  }
  pacer_.OnWatched();
  failed_reads_ = 0;
  for (const auto& change : changes->changes) config_.OnChanged(change);
  // The store answers a watch without changes from its state at the end of the
  // wait. Any other answer is at least as recent as the call.
  const bool waited =
      changes->changes.empty() && MonotonicNow() >= sent_at + wait;
  OnConfirmed(
      {.revision = changes->revision, .at = waited ? sent_at + wait : sent_at});
  Continue(!changes->changes.empty());
}

void config_reader::Continue(bool changed) {
  if (!options_.is_designated()) {
    ScheduleCheck();
  } else if (changed) {
    const auto pause = options_.pause_after_change;
    pacer_.RunAfter(std::max(pause / 4, pause - Age()), [this] { List(); });
  } else {
    Watch(options_.watch_wait);
  }
}

void config_reader::ScheduleCheck() {
  constexpr double kMaxAgeSpread = 0.1;
  const auto max_age = std::chrono::duration_cast<duration>(
      options_.max_age * (1 + kMaxAgeSpread * random_.NextDouble()));
  CheckAge(max_age);
}

void config_reader::CheckAge(duration max_age) {
  if (options_.is_designated()) {
    Watch(options_.watch_wait);
    return;
  }
  const auto age = Age();
  if (age < max_age) {
    pacer_.RunAfter(max_age - age, [this, max_age] { CheckAge(max_age); });
    return;
  }
  // The store would send the same routes and more on the same link.
  if (options_.is_fetching() && age < 2 * max_age) {
    pacer_.RunAfter(max_age / kFetchChecks,
                    [this, max_age] { CheckAge(max_age); });
    return;
  }
  log_event(log_level::kInfo, "config_check")
      .With("version", config_.Version())
      .With("age_ms", static_cast<std::uint64_t>(ToMillis(age)));
  Watch(duration(0));
}

void config_reader::OnFailure(const error& failure) {
  auto pause = pacer_.OnFailure(failure, confirmation_.revision);
  // The first failure may concern one call only, and a daemon without a
  // configuration cannot be told by others.
  if (++failed_reads_ > 1 && confirmation_.revision.IsKnown() &&
      !options_.is_designated()) {
    pause *= kOtherDaemonsPause;
  }
  pacer_.RunAfter(pause, [this] { ReadAgain(); });
}

void config_reader::ReadAgain() {
  if (!confirmation_.revision.IsKnown()) {
    List();
  } else {
    ScheduleCheck();
  }
}

}  // namespace pomelohall
