#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_READER_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_READER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "active_config.h"
#include "base/callback_scope.h"
#include "base/random.h"
#include "base/time.h"
#include "config_confirmation.h"
#include "sidecar/watched_store.h"
#include "store_call_pacer.h"

namespace pomelohall {

struct config_reader_options {
  // Returns whether this daemon watches the store all the time, on behalf of
  // the others.
  std::function<bool()> is_designated;
  // Maximum duration of a watch call of a designated daemon.
  duration watch_wait{0};
  // Asks another daemon for its configuration and confirmation, the designated
  // one first. The others are asked as well, since the store may turn away the
  // designated one.
  // @param earlier_asks Number of asks that gave no recent confirmation.
  std::function<void(std::size_t earlier_asks)> ask_peer;
  // Returns whether a fetch from another daemon is in progress. The store is
  // read meanwhile only if the confirmation reaches twice its maximum age.
  std::function<bool()> is_fetching;
  // Age of the last confirmation from which on a daemon asks another one.
  duration ask_age{0};
  // Age from which on it reads the store itself. A random 0% to 10% is added,
  // so that daemons that lost their source at the same time do not all read at
  // the same time: the first to read confirms the configuration to others.
  duration max_age{0};
  // Called when a confirmation shows that the store was restored; may be
  // empty.
  std::function<void()> on_restored;
  // Pause after a change before a designated daemon lists again, until a
  // listing shows no change. A watch returns the whole object with every
  // change, a listing only its latest state. The pause is shortened by the age
  // of the confirmation, to a quarter at most: while it lasts, the
  // confirmations of all other daemons get old as well.
  duration pause_after_change{0};
  store_backoff backoff = {};
};

// Bounds the age of the active configuration. Each daemon knows when its
// configuration was last confirmed to be the latest in the store, by its own
// read or by another daemon with the same version. When the confirmation gets
// too old, the daemon reads the store itself, so that the bound depends on no
// other daemon.
class config_reader {
 public:
  // All references must outlive the reader.
  config_reader(boost::asio::io_context& io, watched_store& store,
                active_config& config, config_reader_options options,
                std::uint64_t seed);

  void Start();
  void Stop();
  // Reads the store now: another daemon has a newer version that could not be
  // fetched from it.
  void Refresh();
  // Handles a confirmation of the active configuration by another daemon.
  void OnConfirmed(const config_confirmation& confirmation);
  // Handles a suspension of the machine: the configuration is older than the
  // monotonic clock shows.
  void OnSuspended(duration time);
  const config_confirmation& Confirmation() const { return confirmation_; }

 private:
  void List();
  void Watch(duration wait);
  void OnListed(const result<object_listing>& listing, instant sent_at);
  void OnChanges(const result<object_changes>& changes, instant sent_at,
                 duration wait);
  // Schedules the next read after a successful one.
  void Continue(bool changed);
  void ScheduleCheck();
  void CheckAge(duration max_age);
  void OnFailure(const error& failure);
  void ReadAgain();
  // Asks other daemons, one after the other, while the confirmation is old.
  void AskPeers();
  // Pause before the next ask.
  duration AskPause() const;
  duration Age() const { return MonotonicNow() - confirmation_.at; }

  watched_store& store_;
  active_config& config_;
  const config_reader_options options_;
  random_source random_;
  store_call_pacer pacer_;
  config_confirmation confirmation_;
  boost::asio::steady_timer ask_timer_;
  std::size_t asks_ = 0;  // Since the last recent confirmation.
  bool listing_ = false;
  std::size_t failed_reads_ = 0;  // Since the last successful one.
  callback_scope answers_;        // Answers to superseded calls are ignored.
  callback_scope ask_timeouts_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_READER_H_
