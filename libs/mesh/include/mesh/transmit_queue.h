#ifndef POMELOHALL_MESH_TRANSMIT_QUEUE_H_
#define POMELOHALL_MESH_TRANSMIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/mesh_config.h"
#include "mesh/moving_average.h"

namespace pomelohall {

/// Settings of a transmit_queue.
struct transmit_queue_options {
  /// Send rate of the network link; 0 disables pacing.
  double bytes_per_second = 0;
  /// Responses that occupy the link for less than this are sent immediately:
  /// they delay others little, and running requests wait for them.
  duration min_paced_time = std::chrono::milliseconds(10);
  /// Longest time that a response waits for the link. Bounds the requests in
  /// progress at a daemon that stops: requests whose response would wait for
  /// longer are to be refused before they run.
  duration max_wait = std::chrono::seconds(2);
  /// Size that a download is expected to have before the first one of its class
  /// has ended. Otherwise all requests that arrive until then are accepted
  /// after a start. Too large a size refuses downloads that the link carries;
  /// with this one, about seven a second are accepted on a link of 7 Mbit/s.
  std::uint64_t first_download_bytes = 96UL * 1024;
};

/// A large response that is ready to be sent.
struct transmission {
  std::uint64_t id = 0;  ///< Unique in its queue.
  std::uint64_t bytes = 0;
  instant target_at;  ///< Time until which the response meets its target.
  /// Time until which the response is of use to its receiver.
  instant deadline = instant::max();
  /// Whether the receiver stops soon after the deadline. A later response is
  /// lost, and its caller gets none.
  bool receiver_stops = false;
};

/// Paces the large responses that a VM sends over its network link, one after
/// the other. If backend servers produce more bytes than the link carries and
/// all responses are sent concurrently, all of them are late, including the
/// small responses that running requests wait for. The queue also reserves link
/// time for requests in progress, so that a request whose response cannot be
/// sent in time is refused before it runs.
///
/// Invariant, while no response to a receiver that stops is queued: Next()
/// returns each queued response at its latest send time at the latest, also
/// while the link is busy. That time is the one at which it can still be sent
/// before its deadline, and at most `max_wait` after Add(). A response that
/// cannot be sent before its deadline when it is added has only the second
/// bound, so that it does not delay others in vain.
///
/// While one is queued, no response shares the link with another queued one:
/// responses that are late together would all be lost at the end of their
/// receiver. The responses to receivers that stop are scheduled by their
/// deadlines. The largest set of them that the link carries in time is sent in
/// time, and other responses go first only if that still holds. Those that do
/// not fit are sent when nothing else is queued. Those that have waited for
/// longer than `max_wait` then follow one after the other.
class transmit_queue {
 public:
  explicit transmit_queue(transmit_queue_options options);

  /// Returns whether a response of this size is queued rather than sent
  /// immediately.
  bool IsPaced(std::uint64_t bytes) const;

  /// Returns the time that a response of this size occupies the link; 0 if the
  /// rate of the link is unknown.
  duration LinkTime(std::uint64_t bytes) const;

  /// Records the size of a response to a request of `work_class`.
  void OnResponseSize(const std::string& work_class, std::uint64_t bytes);

  /// Returns the expected time that the response to a request of `work_class`
  /// occupies the link; 0 for responses that are sent immediately, and before
  /// the first response of a class that is not of downloads.
  duration ExpectedLinkTime(const std::string& work_class,
                            request_kind kind = request_kind::kSafe) const;

  /// Returns whether the response to a request that runs for `run_time` can be
  /// sent within `max_wait` after it, after all queued and reserved responses.
  /// A part of `max_wait` is kept for responses that are larger than expected
  /// or ready earlier.
  bool CanSendAfter(duration run_time, instant now) const;

  /// Returns whether the response to a request that runs for `run_time` can be
  /// sent before `deadline`, at which its receiver stops, after all queued and
  /// reserved responses. Counts with a large response of the class and keeps a
  /// part of the time for the transfer by the receiver.
  /// @param request A request whose own reservation does not count.
  bool CanSendBefore(instant deadline, duration run_time,
                     const std::string& work_class, instant now,
                     std::optional<std::uint64_t> request = {}) const;

  /// Reserves link time for the response to a request until Release().
  void Reserve(std::uint64_t request, const std::string& work_class,
               request_kind kind = request_kind::kSafe);
  /// Releases the reservation of a request, if any.
  void Release(std::uint64_t request);

  /// Queues a response.
  void Add(const transmission& response, instant now);
  /// Removes a response whose receiver has disconnected. No effect if it is not
  /// queued.
  void Remove(std::uint64_t id);
  /// Handles that the receiver of a response stops soon after `latest`. No
  /// effect if it is not queued.
  void LimitToStop(std::uint64_t id, instant latest);

  /// Removes and returns the next response to send, or nothing before NextAt().
  /// The earliest target that can still be met goes first, unless another
  /// response would then be sent after its latest send time. Late responses
  /// follow, the earliest latest send time first. See the invariant for
  /// responses to receivers that stop.
  std::optional<std::uint64_t> Next(instant now);
  /// Returns when Next() returns a response: when the link is free, or at the
  /// earliest latest send time; not before the previous one has been sent if a
  /// receiver stops. Only valid if a response is queued.
  instant NextAt() const;

  /// Accounts for bytes sent without queueing: small responses, and responses
  /// of other VMs to the callers on this VM, which use the same link. They are
  /// not admitted against the link, so they count as sent after `max_wait` at
  /// the latest; otherwise requests would be refused for as long as they
  /// arrive.
  void OnSent(std::uint64_t bytes, instant now);

  /// Returns whether no response is queued.
  bool Empty() const { return waiting_.empty() && stopping_.empty(); }
  /// Returns when the response in transmission will have been sent.
  instant LinkFreeAt() const { return link_free_at_; }
  /// Returns when the link will have sent all queued and reserved responses.
  instant DrainedAt(instant now) const;

 private:
  struct waiting_response {
    transmission response;
    duration link_time;
    instant send_by;  ///< Latest send time.
  };
  using responses = std::vector<waiting_response>;
  using iterator = responses::const_iterator;

  void Insert(const waiting_response& added);
  // Removes and returns a response, if it is queued.
  std::optional<waiting_response> Take(std::uint64_t id);
  // Postpones the latest send times that passed while a receiver stopped, so
  // that not all of these responses are sent at once.
  void SpaceWaiting();
  // Returns the next response of those whose receivers do not stop.
  iterator NextWaiting(instant now) const;
  // Returns the next response if a receiver stops.
  const waiting_response& NextAtStop(instant now) const;
  // Returns the largest set of responses to receivers that stop which the link
  // carries before their deadlines if it is free at `start`, by deadline.
  std::vector<const waiting_response*> FittingAtStop(instant start) const;
  // Returns the response with the earliest target that can still be met.
  iterator FirstInTime(instant now) const;
  // Whether all others can be sent by their latest send time if `first` is sent
  // now.
  bool OthersCanWait(iterator first, instant now) const;

  const transmit_queue_options options_;
  instant link_free_at_;
  // When the queued responses that were returned have been sent, without those
  // that are not queued.
  instant queued_sent_at_;
  // Ordered by `send_by`, then by arrival. No `send_by` is in the past when
  // Next() has returned nothing, unless a receiver stops.
  responses waiting_;
  responses stopping_;  // To receivers that stop; ordered by deadline.
  duration waiting_link_time_{0};  // Of both.
  std::unordered_map<std::string, moving_average> class_bytes_;
  std::unordered_map<std::string, double> large_class_bytes_;
  std::unordered_map<std::uint64_t, duration> reserved_;
  duration reserved_link_time_{0};
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_TRANSMIT_QUEUE_H_
