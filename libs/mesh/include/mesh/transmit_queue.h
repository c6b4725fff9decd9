#ifndef POMELOHALL_MESH_TRANSMIT_QUEUE_H_
#define POMELOHALL_MESH_TRANSMIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/moving_average.h"

namespace pomelohall {

/// Settings of a transmit_queue.
struct transmit_queue_options {
  /// Send rate of the network link; 0 disables pacing.
  double bytes_per_second = 0;
  /// Responses that occupy the link for less than this are sent immediately:
  /// they delay others little, and running requests wait for them.
  duration min_paced_time = std::chrono::milliseconds(10);
};

/// A large response that is ready to be sent.
struct transmission {
  std::uint64_t id = 0;  ///< Unique in its queue.
  std::uint64_t bytes = 0;
  instant target_at;  ///< Time until which the response meets its target.
};

/// Paces the large responses that a VM sends over its network link, one after
/// the other. If backend servers produce more bytes than the link carries and
/// all responses are sent concurrently, all of them are late, including the
/// small responses that running requests wait for. The queue also reserves link
/// time for requests in progress, so that a request whose response cannot be
/// sent in time is refused before it runs.
class transmit_queue {
 public:
  explicit transmit_queue(transmit_queue_options options);

  /// Returns whether a response of this size is queued rather than sent
  /// immediately.
  bool IsPaced(std::uint64_t bytes) const;

  /// Records the size of a response to a request of `work_class`.
  void OnResponseSize(const std::string& work_class, std::uint64_t bytes);

  /// Returns the expected time that the response to a request of `work_class`
  /// occupies the link; 0 for responses that are sent immediately.
  duration ExpectedLinkTime(const std::string& work_class) const;

  /// Reserves link time for the response to a request until Release().
  void Reserve(std::uint64_t request, const std::string& work_class);
  /// Releases the reservation of a request, if any.
  void Release(std::uint64_t request);

  /// Queues a response.
  void Add(const transmission& response);
  /// Removes a response whose receiver has disconnected. No effect if it is not
  /// queued.
  void Remove(std::uint64_t id);

  /// Removes and returns the next response to send, or nothing while the link
  /// is busy. The earliest target that can still be met goes first, then the
  /// oldest response.
  std::optional<std::uint64_t> Next(instant now);

  /// Accounts for bytes sent without queueing: small responses, and responses
  /// to the callers on this VM, which use the same link.
  void OnSent(std::uint64_t bytes, instant now);

  /// Returns whether no response is queued.
  bool Empty() const { return waiting_.empty(); }
  /// Returns when the response in transmission will have been sent.
  instant LinkFreeAt() const { return link_free_at_; }
  /// Returns when the link will have sent all queued and reserved responses.
  instant DrainedAt(instant now) const;

 private:
  duration LinkTime(std::uint64_t bytes) const;

  const transmit_queue_options options_;
  instant link_free_at_;
  std::vector<transmission> waiting_;  ///< In order of arrival.
  duration waiting_link_time_{0};
  std::unordered_map<std::string, moving_average> class_bytes_;
  std::unordered_map<std::uint64_t, duration> reserved_;
  duration reserved_link_time_{0};
};

}  // namespace pomelohall

#endif  // POMELOHALL_MESH_TRANSMIT_QUEUE_H_
