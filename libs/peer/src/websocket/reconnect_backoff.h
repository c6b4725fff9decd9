#ifndef POMELOHALL_PEER_RECONNECT_BACKOFF_H_
#define POMELOHALL_PEER_RECONNECT_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace pomelohall {

/// Pauses between attempts to reach one peer: 200 ms, doubled up to 5 s. Each
/// pause is drawn from the upper half of that span, so that daemons which lost
/// a peer at the same moment do not return at the same moment.
class reconnect_backoff {
 public:
  static constexpr std::chrono::milliseconds kBase{200};
  static constexpr std::chrono::milliseconds kCap{5000};

  explicit reconnect_backoff(std::uint32_t seed) : random_(seed) {}

  /// Returns the pause after another failure.
  std::chrono::milliseconds NextPause();

  /// Starts again at kBase, after a link that worked.
  void Reset() { span_ = kBase; }

 private:
  std::chrono::milliseconds span_ = kBase;
  std::minstd_rand random_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_RECONNECT_BACKOFF_H_
