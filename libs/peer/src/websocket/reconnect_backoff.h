#ifndef POMELOHALL_PEER_RECONNECT_BACKOFF_H_
#define POMELOHALL_PEER_RECONNECT_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace pomelohall {

/// Exponential backoff between connection attempts to one peer, from 200 ms up
/// to 5 s. Each delay is a random 50% to 100% of the current maximum, so that
/// daemons that lost a peer at the same time do not reconnect at the same time.
class reconnect_backoff {
 public:
  static constexpr std::chrono::milliseconds kBase{200};
  static constexpr std::chrono::milliseconds kCap{5000};

  explicit reconnect_backoff(std::uint32_t seed) : random_(seed) {}

  /// Returns the delay after another failure and doubles the maximum.
  std::chrono::milliseconds NextDelay();

  /// Resets the maximum to kBase, after a stable link.
  void Reset() { max_delay_ = kBase; }

 private:
  std::chrono::milliseconds max_delay_ = kBase;
  std::minstd_rand random_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_RECONNECT_BACKOFF_H_
