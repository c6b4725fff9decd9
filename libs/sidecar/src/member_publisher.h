#ifndef POMELOHALL_SIDECAR_SRC_MEMBER_PUBLISHER_H_
#define POMELOHALL_SIDECAR_SRC_MEMBER_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/callback_scope.h"
#include "base/random.h"
#include "mesh/mesh_member.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

struct member_publisher_options {
  // Time after the first Publish() in which the first write waits until the
  // stored record and a backend server are known, to be the only one.
  duration start_delay{0};
  // Called with the stored record of an earlier process of this daemon, maybe
  // more than once, until `on_first_write`. May publish again.
  std::function<void(const std::string& spec)> on_earlier_record = {};
  // Called once when the store has a record of this process. The record that it
  // replaced, if any, was reported before: writes are conditional on it.
  std::function<void()> on_first_write = {};
};

// Keeps the record of this daemon in the store equal to its state. Every write
// is conditional on the revision that it replaces: a write whose answer was
// lost may take effect seconds later and must not overwrite a newer one.
class member_publisher {
 public:
  // `store` must outlive the publisher.
  member_publisher(boost::asio::io_context& io, watched_store& store,
                   member_publisher_options options, std::uint64_t seed);

  // Writes the record, now or as soon as the store accepts it.
  void Publish(const mesh_member& member);
  // Handles the stored record as reported by a watch. If `deleted`, the
  // revision of `object` is one at which there was no record.
  void OnStored(const watched_object& object, bool deleted);
  // Calls `done` with true as soon as the store has the record to write, or
  // with false at `deadline` or when the publisher stops.
  void AwaitStored(instant deadline, std::function<void(bool)> done);
  // To be called regularly: ends calls of AwaitStored() whose deadline passed.
  void Tick(instant now);
  void Stop();
  // Returns whether other daemons can know this one.
  bool IsPublished() const { return !stored_spec_.empty(); }

 private:
  struct waiting_call {
    instant deadline;
    std::function<void(bool)> done;
  };

  // Handles a record that the store has; empty if it has none.
  void SetStored(const std::string& spec);
  void OnFirstWrite();
  bool IsStored() const;
  void EndWaitingCalls(bool stored);
  // Starts writing, or the delay of the first write.
  void CheckStart();
  void StartWriting();
  void Reconcile();
  void Read();
  void OnRead(const result<watched_object>& object);
  void Write();
  void OnWritten(const std::string& spec, const result<watched_object>& object);
  void RetryLater(const error& failure);

  watched_store& store_;
  const member_publisher_options options_;
  random_source random_;
  boost::asio::steady_timer timer_;
  std::string name_;
  std::string desired_spec_;  // Spec that the store should have.
  std::string stored_spec_;   // Last known spec in the store.
  // Revision of the stored record; not known if there is none, nullopt if that
  // is uncertain.
  std::optional<store_revision> revision_ = store_revision();
  // Latest report of a watch during an operation, whose result may be older.
  std::optional<object_change> report_;
  std::size_t failures_ = 0;
  bool operation_pending_ = false;
  bool writing_ = false;  // The first write is not delayed any more.
  bool waiting_ = false;  // For the end of the start delay.
  bool serving_ = false;  // The record to write has a backend server.
  // The stored record, or that there is none, is known.
  bool reported_ = false;
  bool written_ = false;  // The store has or had a record of this process.
  std::vector<waiting_call> waiting_calls_;
  bool stopped_ = false;
  callback_scope callbacks_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MEMBER_PUBLISHER_H_
